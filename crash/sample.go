package crash

import (
	"encoding/binary"
	"math/rand/v2"
	"time"
)

const (
	// maxObservations and maxObservedBytes bound a sample.
	maxObservations  = 128
	maxObservedBytes = 48 << 10
	// observationTTL is how long an observation counts.
	observationTTL = 2 * popularityWindow
	// prefixSize is the length of the part of a digest by which an observation names a segment.
	prefixSize = 4
)

// Observation is a request with segments, or how its run went on, in a sample of those of all entries.
type Observation struct {
	// Rank is random. Of too many observations the ones with the lowest ranks are kept, at all entries the
	// same ones.
	Rank uint64 `cbor:"1,keyasint"`
	// Segments holds a prefix of the digest of each segment.
	Segments []byte `cbor:"2,keyasint"`
	// Outcome is how a run of the request went on, zero for the request itself.
	Outcome Outcome `cbor:"3,keyasint,omitempty"`
	// AgeMs is the time since the request arrived, or was sent to the instance.
	AgeMs int64 `cbor:"4,keyasint,omitempty"`
}

// Outcome is how a run of a request with segments went on.
type Outcome int

const (
	// OutcomeBegun means that the instance began to answer.
	OutcomeBegun Outcome = iota + 1
	// OutcomeEnded means that the instance terminated before it did.
	OutcomeEnded
)

// observed is an observation with its local bookkeeping.
type observed struct {
	Observation
	at  time.Time
	seq int64
	// own is true if it was made by this entry, which counts it elsewhere.
	own bool
}

// sample holds a random choice of the observations of all entries.
type sample struct {
	items map[uint64]*observed
	// highest is the highest rank, bytes the size of all segments.
	highest uint64
	bytes   int
	// seq is the sequence number of the last observation of any sample of the registry.
	seq *int64
	// requests and bySegment count the requests observed by other entries.
	requests  int
	bySegment map[uint32]int
	sweptAt   time.Time
	// oldest is when the oldest observation was made, or earlier.
	oldest time.Time
}

func newSample(seq *int64) *sample {
	return &sample{
		seq:       seq,
		items:     make(map[uint64]*observed),
		bySegment: make(map[uint32]int),
	}
}

// observe adds an observation of this entry.
func (s *sample) observe(segments []Digest, outcome Outcome, at, now time.Time) {
	s.sweep(now)
	rank := rand.Uint64()
	if !s.wants(rank, len(segments)*prefixSize) {
		return
	}
	packed := make([]byte, 0, len(segments)*prefixSize)
	for _, d := range segments {
		packed = append(packed, d[:prefixSize]...)
	}
	s.add(&observed{
		Observation: Observation{
			Rank:     rank,
			Segments: packed,
			Outcome:  outcome,
		},
		at:  at,
		own: true,
	})
}

// merge adds an observation of another entry.
func (s *sample) merge(o Observation, now time.Time) {
	s.sweep(now)
	age := time.Duration(o.AgeMs) * time.Millisecond
	if o.AgeMs < 0 || age >= observationTTL || len(o.Segments)%prefixSize != 0 || s.items[o.Rank] != nil || !s.wants(o.Rank, len(o.Segments)) {
		return
	}
	s.add(&observed{
		Observation: o,
		at:          now.Add(-age),
	})
}

// wants reports whether an observation of the given size would be kept.
func (s *sample) wants(rank uint64, size int) bool {
	return size <= maxObservedBytes && (rank < s.highest || len(s.items) < maxObservations && s.bytes+size <= maxObservedBytes)
}

func (s *sample) add(o *observed) {
	*s.seq++
	o.seq = *s.seq
	s.items[o.Rank] = o
	if len(s.items) == 1 || o.at.Before(s.oldest) {
		s.oldest = o.at
	}
	s.highest = max(s.highest, o.Rank)
	s.count(o, 1)
	for len(s.items) > maxObservations || s.bytes > maxObservedBytes {
		s.remove(s.items[s.highest])
	}
}

func (s *sample) remove(o *observed) {
	delete(s.items, o.Rank)
	s.count(o, -1)
	if o.Rank < s.highest {
		return
	}
	s.highest = 0
	for rank := range s.items {
		s.highest = max(s.highest, rank)
	}
}

// count adds n times an observation to the counts.
func (s *sample) count(o *observed, n int) {
	s.bytes += n * len(o.Segments)
	if o.own || o.Outcome != 0 {
		return
	}
	s.requests += n
	for i := 0; i < len(o.Segments); i += prefixSize {
		prefix := binary.BigEndian.Uint32(o.Segments[i:])
		s.bySegment[prefix] += n
		if s.bySegment[prefix] == 0 {
			delete(s.bySegment, prefix)
		}
	}
}

// sweep drops what is too old.
func (s *sample) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < time.Second || now.Sub(s.oldest) < observationTTL {
		return
	}
	s.sweptAt = now
	s.oldest = now
	for _, o := range s.items {
		if now.Sub(o.at) >= observationTTL {
			s.remove(o)
			continue
		}
		if o.at.Before(s.oldest) {
			s.oldest = o.at
		}
	}
}

// since returns the observations added after a sequence number.
func (s *sample) since(after int64, now time.Time) []Observation {
	s.sweep(now)
	var out []Observation
	for _, o := range s.items {
		if o.seq <= after {
			continue
		}
		e := o.Observation
		e.AgeMs = max(0, now.Sub(o.at).Milliseconds())
		out = append(out, e)
	}
	return out
}

// without counts the requests without a segment by their segments.
func (s *sample) without(d Digest) map[uint32]int {
	out := make(map[uint32]int)
	for _, o := range s.items {
		if o.has(d) {
			continue
		}
		for i := 0; i < len(o.Segments); i += prefixSize {
			out[binary.BigEndian.Uint32(o.Segments[i:])]++
		}
	}
	return out
}

// prefix returns the part of a digest by which observations name it.
func (d Digest) prefix() uint32 {
	return binary.BigEndian.Uint32(d[:prefixSize])
}

// has reports whether an observation has a segment.
func (o *observed) has(d Digest) bool {
	prefix := d.prefix()
	for i := 0; i < len(o.Segments); i += prefixSize {
		if binary.BigEndian.Uint32(o.Segments[i:]) == prefix {
			return true
		}
	}
	return false
}
