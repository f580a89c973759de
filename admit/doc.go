// Package admit decides when an entry sends a request to a service, keeps it waiting, or refuses it. Engines batch and take what comes first,
// so that what is sent too early makes everything late: only as much is sent as begins in time, what can still be on time goes first, and
// a service that answers nobody gets a few requests that show its return while the others wait. It has no sockets, goroutines or clock.
package admit
