// Command soak injects random faults into an example deployment for a given time and stops at the
// first violation.
package main
