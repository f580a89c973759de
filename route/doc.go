// Package route picks the upstream of a request from late reports and the entry's own count of work in flight.
package route
