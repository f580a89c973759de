// Package outage estimates when a closed rank group opens again, and decides what callers are told until
// then. It has no sockets and no clock of its own; packages group and gate drive it.
package outage
