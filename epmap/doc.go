// Package epmap switches the expert map of a rank group so that all ranks execute every step under
// the same map.
//
// A Leader, which holds a lease, and a Guard beside each rank exchange orders and replies that may
// be lost, delayed, repeated and reordered. A cap is a rank's promise to wait at step N; a grant
// releases it with the new map. No rank starts step N before its map for N is settled, and no leader
// grants a map before every rank is capped at N. Leader and Guard are plain state machines without
// clocks, goroutines or sockets.
package epmap
