// Package admit decides whether an entry sends a request to a service, queues it, or rejects it.
// Engines batch and serve requests in order of arrival, so requests that are sent too early delay
// everything behind them. Only as many requests are sent as start in time, those that can still be
// on time go first, and an unavailable service gets a few probe requests while the others are
// rejected. Controller learns that from the starts of one entry; Shedder refuses what the groups
// have no room for, as their statuses show it to all entries. The package uses no sockets,
// goroutines or clock.
package admit
