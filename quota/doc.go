// Package quota enforces the request rate limits that instances advertise. Each limit covers the
// requests of all entries together and is divided among them.
package quota
