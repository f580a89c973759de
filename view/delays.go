package view

import (
	"expvar"
	"time"

	"geraniumpass/meter"
)

// versionDelays and revisionDelays are the distributions of the time from the first notice of a version
// of the routing table or a revision of the store to when it, or a later one, is in force.
var (
	versionDelays  = expvar.NewMap("version_notice_to_in_force_ms")
	revisionDelays = expvar.NewMap("revision_notice_to_in_force_ms")
)

// delayBounds returns the upper bounds of the buckets of both, in ascending order: from the decoding
// of a small change to several times the usual bound.
func delayBounds() []time.Duration {
	return []time.Duration{
		5 * time.Millisecond,
		20 * time.Millisecond,
		50 * time.Millisecond,
		100 * time.Millisecond,
		150 * time.Millisecond,
		300 * time.Millisecond,
		time.Second,
		defaultBound,
		5 * time.Second,
	}
}

// countDelays counts each duration in its bucket.
func countDelays(m *expvar.Map, delays []time.Duration) {
	for _, d := range delays {
		m.Add(meter.Bucket(delayBounds(), d), 1)
	}
}
