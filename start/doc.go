// Package start wires a role from its settings and runs it until it is told to stop.
package start
