// Package fleet tracks the upstream instances that an entry may use, tolerating reports that are
// late, lapse in a store outage or return.
package fleet
