// Package loads holds the load and the condition of rank groups as the agents of their ranks observe
// them, and the entries' knowledge of them. It has no sockets; packages group and feed carry it.
package loads
