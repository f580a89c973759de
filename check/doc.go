// Package check asserts the program's invariants at run time, counts violations in expvar and stops the process where a test asks for that.
package check
