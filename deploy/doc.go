// Package deploy starts a complete deployment on the loopback interface for the demo, the tests and
// the soak, with real processes in front of stand-in upstreams.
package deploy
