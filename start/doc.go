// Package start assembles a role from its settings and runs it until it receives a stop signal.
package start
