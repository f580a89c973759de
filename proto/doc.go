// Package proto defines the messages between this system's own processes as plain data.
package proto
