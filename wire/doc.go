// Package wire carries the messages between this system's own processes as CBOR over WebSocket.
package wire
