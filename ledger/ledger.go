package ledger

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"geraniumpass/check"
	"geraniumpass/core"
)

const shardCount = 16

// Ledger is the authority on which attempts ran at one upstream during one incarnation of its
// agent.
type Ledger struct {
	clock       clockwork.Clock
	incarnation uint64
	retention   time.Duration
	sessions    [shardCount]sessionShard
	claims      [shardCount]claimShard
}

// New returns an empty ledger that removes sessions idle for longer than retention.
func New(clock clockwork.Clock, incarnation uint64, retention time.Duration) *Ledger {
	l := &Ledger{
		clock:       clock,
		incarnation: incarnation,
		retention:   retention,
	}
	for i := range l.sessions {
		l.sessions[i].sessions = make(map[Session]*session)
		l.claims[i].claims = make(map[string]*claim)
	}
	return l
}

// Incarnation returns the incarnation of the agent that owns the ledger.
func (l *Ledger) Incarnation() uint64 {
	return l.incarnation
}

// Offer records a dispatch and returns the verdict on it.
func (l *Ledger) Offer(o Offer) Verdict {
	if o.Incarnation != l.incarnation {
		return refusal(core.ReasonOtherIncarnation)
	}
	s := l.sessionShard(o.Key.Session)
	s.mu.Lock()
	defer s.mu.Unlock()
	ses := s.getOrCreate(o.Key.Session, l.clock.Now())
	if o.Key.N < ses.floor {
		return refusal(core.ReasonStaleDispatch)
	}
	if r, ok := ses.records[o.Key.N]; ok {
		return recordedVerdict(r)
	}
	r := &record{
		state:      StateQueued,
		idempotent: o.Idempotent,
		claimKey:   o.ClaimKey,
	}
	if o.ClaimKey == "" {
		ses.records[o.Key.N] = r
		return Verdict{Action: ActionQueue}
	}
	v := l.offerClaim(o)
	r.attached = v.Action == ActionAttach
	if v.Action != ActionRefuse {
		ses.records[o.Key.N] = r
	}
	return v
}

// recordedVerdict handles a dispatch whose number is already recorded: a tombstone refuses it, any
// other record makes it a duplicate frame.
func recordedVerdict(r *record) Verdict {
	if r.state == StateRefused {
		return refusal(core.ReasonCancelled)
	}
	return Verdict{Action: ActionIgnore}
}

// Start moves an attempt from queued to running. It returns false when the attempt was refused in
// the meantime.
func (l *Ledger) Start(k Key) bool {
	s := l.sessionShard(k.Session)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.record(k)
	if r == nil || r.state == StateRefused {
		return false
	}
	check.Assert(check.AtMostOnce, r.state == StateQueued && r.starts == 0, "attempt %s started in state %d after %d starts", k, r.state, r.starts)
	if r.state != StateQueued {
		return false
	}
	if r.claimKey != "" && !l.startClaim(r.claimKey, k) {
		r.state = StateRefused
		return false
	}
	r.state = StateRunning
	r.starts++
	return true
}

// Finish moves a running attempt to done.
func (l *Ledger) Finish(k Key) {
	s := l.sessionShard(k.Session)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.record(k); r != nil {
		check.Assert(check.NotRunNeverRan, r.state != StateRefused, "attempt %s finished after it was refused", k)
		r.state = StateDone
	}
}

// MarkUnsent moves a running attempt to refused, because no part of it reached the upstream and so
// it did not run.
func (l *Ledger) MarkUnsent(k Key) {
	s := l.sessionShard(k.Session)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.record(k)
	if r == nil || r.state != StateRunning {
		return
	}
	r.state = StateRefused
	if r.claimKey == "" {
		return
	}
	cs := l.claimShard(r.claimKey)
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if c, ok := cs.claims[r.claimKey]; ok && c.holder == k {
		c.ran, c.refused = false, true
	}
}

// Cancel cancels an attempt and reports whether it has not run and never will.
func (l *Ledger) Cancel(k Key) bool {
	s := l.sessionShard(k.Session)
	s.mu.Lock()
	defer s.mu.Unlock()
	ses := s.getOrCreate(k.Session, l.clock.Now())
	r, ok := ses.records[k.N]
	switch {
	case !ok && k.N < ses.floor:
		return false
	case !ok:
		// The tombstone refuses the dispatch if it arrives after its own cancel.
		ses.records[k.N] = &record{state: StateRefused}
		return true
	case r.state == StateRefused:
		return true
	case r.state != StateQueued || r.attached:
		return false
	}
	check.Assert(check.NotRunNeverRan, r.starts == 0, "attempt %s refused as not run after %d starts", k, r.starts)
	r.state = StateRefused
	l.refuseClaim(r.claimKey, k)
	return true
}

// State returns the state of an attempt, and false when it is not recorded.
func (l *Ledger) State(k Key) (State, bool) {
	s := l.sessionShard(k.Session)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.record(k)
	if r == nil {
		return 0, false
	}
	return r.state, true
}

// RaiseFloor removes the session's finished attempts below floor. Later dispatches below it are
// refused.
func (l *Ledger) RaiseFloor(id Session, floor uint64) {
	s := l.sessionShard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	ses := s.getOrCreate(id, l.clock.Now())
	ses.floor = max(ses.floor, floor)
	for n, r := range ses.records {
		if n < ses.floor && r.state != StateQueued && r.state != StateRunning {
			delete(ses.records, n)
		}
	}
}

// Expire removes claims past their retention and sessions idle for longer than the ledger's
// retention.
func (l *Ledger) Expire() {
	now := l.clock.Now()
	for i := range l.claims {
		l.claims[i].expire(now)
		l.sessions[i].expire(now.Add(-l.retention))
	}
}

// Size returns the number of recorded attempts and claims.
func (l *Ledger) Size() (attempts, claims int) {
	for i := range l.sessions {
		attempts += l.sessions[i].size()
		claims += l.claims[i].size()
	}
	return attempts, claims
}

func (l *Ledger) sessionShard(s Session) *sessionShard {
	return &l.sessions[xxhash.Sum64String(s.Entry)%shardCount]
}

func refusal(reason core.Reason) Verdict {
	return Verdict{
		Action:  ActionRefuse,
		Outcome: core.OutcomeNotRun,
		Reason:  reason,
	}
}
