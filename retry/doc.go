// Package retry bounds repeats, so that a failure does not multiply the load.
package retry
