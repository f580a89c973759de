// Package epmap switches the expert map of a rank group so that every step is taken by all ranks under one map.
//
// A Leader, which holds a lease, and a Guard beside each rank exchange orders and replies that may be lost, late, repeated
// and reordered. The rule is: no rank takes step N before it knows N's map, and nobody grants a map before every rank has
// promised to wait at N. Both types are plain state machines without clocks, goroutines or sockets.
package epmap
