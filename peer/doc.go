// Package peer exchanges state between entries, so that an entry that can't reach the store still
// receives the latest table and instances. Each entry long-polls a few peers, which hold a poll
// until they have something newer.
package peer
