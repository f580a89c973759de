// Command capacity measures how the load of each role grows with the size of a deployment, on one
// machine, and prints the slopes.
package main
