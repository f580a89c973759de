// Package retry limits retries, so that a failure does not multiply the load.
package retry
