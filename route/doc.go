// Package route picks the upstream of a request from possibly stale load reports and the entry's
// own count of in-flight work.
package route
