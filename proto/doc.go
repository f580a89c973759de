// Package proto defines the messages between the system's processes as plain data types with a CBOR
// encoding.
package proto
