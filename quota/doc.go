// Package quota keeps the request rates that instances state as the most they take from all entries together.
package quota
