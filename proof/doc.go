// Package proof tests the system's invariants by injecting faults into a complete deployment of
// real processes.
package proof
