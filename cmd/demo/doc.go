// Command demo runs an example deployment on the loopback interface, breaks parts of it under load and shows what callers got.
package main
