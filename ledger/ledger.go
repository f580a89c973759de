package ledger

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"geraniumpass/check"
	"geraniumpass/core"
)

const shardCount = 16

// Ledger is the authority on what has run at one upstream during one incarnation of its agent.
type Ledger struct {
	clock       clockwork.Clock
	incarnation uint64
	retention   time.Duration
	sessions    [shardCount]sessionShard
	claims      [shardCount]claimShard
}

// New returns an empty ledger; sessions that are silent for the retention are forgotten.
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

// Incarnation returns the agent's incarnation that this ledger belongs to.
func (l *Ledger) Incarnation() uint64 {
	return l.incarnation
}

// Offer records a dispatch and says what to do with it.
func (l *Ledger) Offer(o Offer) Verdict {
	if o.Incarnation != l.incarnation {
		return refuse(core.ReasonOtherIncarnation)
	}
	s := l.sessionShard(o.Key.Session)
	s.mu.Lock()
	defer s.mu.Unlock()
	ses := s.get(o.Key.Session, l.clock.Now())
	if o.Key.N < ses.floor {
		return refuse(core.ReasonStaleDispatch)
	}
	if r, ok := ses.records[o.Key.N]; ok {
		return known(r)
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

// known answers a dispatch whose number is on record: a tombstone refuses it, anything else is a repeated frame.
func known(r *record) Verdict {
	if r.state == StateRefused {
		return refuse(core.ReasonCancelled)
	}
	return Verdict{Action: ActionIgnore}
}

// Start moves an attempt from queued to running and returns false when it was refused in the meantime.
func (l *Ledger) Start(k Key) bool {
	s := l.sessionShard(k.Session)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.record(k)
	if r == nil || r.state == StateRefused {
		return false
	}
	check.Assert(check.AtMostOnce, r.state == StateQueued && r.starts == 0, "attempt %s starts in state %d after %d starts", k, r.state, r.starts)
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

// Finish moves an attempt from running to done.
func (l *Ledger) Finish(k Key) {
	s := l.sessionShard(k.Session)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.record(k); r != nil {
		check.Assert(check.NotRunNeverRan, r.state != StateRefused, "attempt %s finishes after it was refused", k)
		r.state = StateDone
	}
}

// Unsent moves an attempt from running to refused when nothing of it had left for the upstream, so that it did not run.
func (l *Ledger) Unsent(k Key) {
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

// Cancel gives an attempt up and returns true only when it did not run and now never will.
func (l *Ledger) Cancel(k Key) bool {
	s := l.sessionShard(k.Session)
	s.mu.Lock()
	defer s.mu.Unlock()
	ses := s.get(k.Session, l.clock.Now())
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
	check.Assert(check.NotRunNeverRan, r.starts == 0, "attempt %s is refused after %d starts", k, r.starts)
	r.state = StateRefused
	l.refuseClaim(r.claimKey, k)
	return true
}

// State returns where an attempt stands, and false when it is not on record.
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

// Settle forgets the session's finished attempts below floor; a dispatch below it is refused from now on.
func (l *Ledger) Settle(of Session, floor uint64) {
	s := l.sessionShard(of)
	s.mu.Lock()
	defer s.mu.Unlock()
	ses := s.get(of, l.clock.Now())
	ses.floor = max(ses.floor, floor)
	for n, r := range ses.records {
		if n < ses.floor && r.state != StateQueued && r.state != StateRunning {
			delete(ses.records, n)
		}
	}
}

// Expire forgets the claims whose time is over and the sessions that were silent for the retention.
func (l *Ledger) Expire() {
	now := l.clock.Now()
	for i := range l.claims {
		l.claims[i].expire(now)
		l.sessions[i].expire(now.Add(-l.retention))
	}
}

// Size returns the number of attempts and of claims on record.
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

func refuse(reason core.Reason) Verdict {
	return Verdict{
		Action:  ActionRefuse,
		Outcome: core.OutcomeNotRun,
		Reason:  reason,
	}
}
