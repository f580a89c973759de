// Command demo runs an example deployment on the loopback interface, injects faults under load and
// prints the results of the callers.
package main
