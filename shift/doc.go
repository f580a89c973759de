// Package shift switches the expert map of a rank group whose engines hold and arm steps by order.
//
// The leader has every rank prepare a map, has one rank hold a step, and only then has every rank
// arm the map for that step. The leader may release the hold before the first arm order is sent;
// after that the switch can only be completed. A guard beside each rank refuses leaders older than
// the newest one that it has answered, never holds a step twice, and releases orphaned holds,
// because an order without an answer may be executed seconds later. Leader and Guard use no clocks
// and no goroutines, so that tests can explore all interleavings of their orders.
package shift
