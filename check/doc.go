// Package check evaluates invariants at run time, counts violations in expvar and, in fatal mode,
// panics on them.
package check
