// Package deploy starts a whole deployment on the loopback interface, as real processes before stand-ins, for the demonstration, the tests and the soak.
package deploy
