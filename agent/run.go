package agent

import (
	"sync"
	"time"

	"geraniumpass/answer"
	"geraniumpass/ledger"
	"geraniumpass/proto"
)

// orphanTimeout is how long an attempt continues without a link to any of its entries.
const orphanTimeout = 15 * time.Second

// run is one attempt at the upstream together with the readers of its answer.
type run struct {
	key       ledger.Key
	dispatch  *proto.Dispatch
	itemID    uint64
	expires   time.Time
	queuedAt  time.Time
	startedAt time.Time

	mu            sync.Mutex
	windowCond    *sync.Cond
	buffer        *answer.Buffer
	readers       []reader
	sent          uint32
	lastPart      time.Time
	stalled       bool
	acked         uint32
	abandoned     bool
	orphanedSince time.Time
}

// reader is an attempt, identified by key, that reads the run's answer.
type reader struct {
	key  ledger.Key
	next uint32
}

func newRun(key ledger.Key, d *proto.Dispatch, now time.Time) *run {
	r := &run{
		key:      key,
		dispatch: d,
		expires:  now.Add(d.Remaining),
		queuedAt: now,
		buffer:   answer.NewBuffer(d.ClaimKey != ""),
		readers:  []reader{{key: key}},
	}
	r.windowCond = sync.NewCond(&r.mu)
	return r
}

// append stores a part and sends it to every reader. It blocks while the window is full and returns
// false when the run was abandoned.
func (r *run) append(p *proto.Answer, s *sessions, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.abandoned && r.windowFull() {
		r.windowCond.Wait()
	}
	if r.abandoned {
		return false
	}
	p = r.buffer.Append(p)
	if p == nil {
		return false
	}
	r.sent = p.Seq + 1
	r.lastPart = now
	for _, rd := range r.readers {
		sendPart(s, rd.key, p)
	}
	return true
}

// windowFull reports whether an answer without a claim waits for an acknowledgement.
func (r *run) windowFull() bool {
	if r.dispatch.ClaimKey != "" {
		return false
	}
	return r.sent-r.acked >= proto.WindowParts || r.buffer.Bytes() >= proto.WindowBytes
}

func sendPart(s *sessions, to ledger.Key, p *proto.Answer) {
	c := *p
	c.N = to.N
	s.send(to.Session, &proto.Frame{Answer: &c})
}

// attach adds a reader, or reattaches it on a new link, and resends the parts from next on. It
// returns false when those parts are no longer buffered.
func (r *run) attach(key ledger.Key, next uint32, s *sessions) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	parts, ok := r.buffer.From(next)
	if !ok {
		return false
	}
	found := false
	for i := range r.readers {
		found = found || r.readers[i].key == key
	}
	if !found {
		r.readers = append(r.readers, reader{
			key:  key,
			next: next,
		})
	}
	for _, p := range parts {
		sendPart(s, key, p)
	}
	return true
}

// ack records that a reader has all parts below next and reports whether the run has ended and
// every reader has all of it.
func (r *run) ack(key ledger.Key, next uint32) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	low := next
	for i := range r.readers {
		if r.readers[i].key == key {
			r.readers[i].next = max(r.readers[i].next, next)
		}
		low = min(low, r.readers[i].next)
	}
	r.acked = max(r.acked, low)
	r.buffer.Ack(low)
	r.windowCond.Broadcast()
	return r.buffer.Ended() && r.acked >= r.sent
}

// detach removes a reader and reports whether none is left.
func (r *run) detach(key ledger.Key) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := r.readers[:0:0]
	for _, rd := range r.readers {
		if rd.key != key {
			kept = append(kept, rd)
		}
	}
	r.readers = kept
	return len(kept) == 0
}

// abandon makes every later append fail and unblocks a waiting one.
func (r *run) abandon() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.abandoned = true
	r.windowCond.Broadcast()
}

// orphaned reports whether no reader has had a link for longer than orphanTimeout.
func (r *run) orphaned(now time.Time, s *sessions) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rd := range r.readers {
		if s.connected(rd.key.Session) {
			r.orphanedSince = time.Time{}
			return false
		}
	}
	if r.orphanedSince.IsZero() {
		r.orphanedSince = now
	}
	return now.Sub(r.orphanedSince) > orphanTimeout
}

func (r *run) keys() []ledger.Key {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]ledger.Key, 0, len(r.readers))
	for _, rd := range r.readers {
		out = append(out, rd.key)
	}
	return out
}

func (r *run) ended() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.buffer.Ended()
}

// hasUnackedParts reports whether a connected reader lacks a part of a finished answer.
func (r *run) hasUnackedParts(s *sessions) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.buffer.Ended() {
		return false
	}
	for _, rd := range r.readers {
		if rd.next < r.sent && s.connected(rd.key.Session) {
			return true
		}
	}
	return false
}
