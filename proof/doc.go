// Package proof tests the system's invariants by injecting faults into a whole deployment of real
// processes.
package proof
