// Package wire carries CBOR-encoded messages between the system's processes over authenticated
// WebSocket links.
package wire
