// Package view caches the routing table, the instances and the peers known to a process; its
// revision never decreases. Changes come from the platform's store or, while the store is
// unreachable, from a peer with a newer revision.
package view
