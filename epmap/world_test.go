package epmap

import (
	"encoding/binary"
	"sort"
	"strings"

	"github.com/samber/lo"

	"geraniumpass/proto"
)

// mutation takes one mechanism out of the protocol, to show that the exploration would notice.
type mutation string

const (
	asShipped     mutation = ""
	noFence       mutation = "no fencing check"
	noCap         mutation = "no cap"
	smallQuorum   mutation = "one rank missing from the quorum"
	uncapGranted  mutation = "uncap after a grant"
	noConfirm     mutation = "no second inquiry before an uncap"
	noInquiry     mutation = "uncap without an inquiry"
	noIncarnation mutation = "no incarnation on orders"
)

// bounds limits an exploration.
type bounds struct {
	ranks    int
	leaders  int
	steps    uint64
	restarts int
	aborts   int
}

// message is an order or a reply that was sent; it stays deliverable, so that every loss, delay, repeat and order is covered.
type message struct {
	leader int
	rank   int
	order  proto.Order
	reply  proto.OrderReply
	answer bool
}

// world is one state of the whole group.
type world struct {
	engines  []modelEngine
	guards   []Guard
	leaders  []Leader
	proposed []bool
	aborted  int
	restarts int
	used     [][]uint64
	msgs     map[string]message
}

func newWorld(b bounds) *world {
	w := &world{msgs: make(map[string]message)}
	for range b.ranks {
		w.engines = append(w.engines, modelEngine{version: 1, step: 1})
		w.guards = append(w.guards, Guard{Incarnation: 1})
	}
	for range b.steps + 1 {
		w.used = append(w.used, make([]uint64, b.ranks))
	}
	for i := range b.leaders {
		w.leaders = append(w.leaders, *NewLeader(uint64(i+1), b.ranks))
		w.proposed = append(w.proposed, false)
		w.send(i)
	}
	return w
}

func (w *world) clone() *world {
	c := &world{
		engines:  append([]modelEngine{}, w.engines...),
		guards:   append([]Guard{}, w.guards...),
		proposed: append([]bool{}, w.proposed...),
		aborted:  w.aborted,
		restarts: w.restarts,
		msgs:     make(map[string]message, len(w.msgs)+4),
	}
	for _, l := range w.leaders {
		l.Ranks = append([]RankView{}, l.Ranks...)
		c.leaders = append(c.leaders, l)
	}
	for _, u := range w.used {
		c.used = append(c.used, append([]uint64{}, u...))
	}
	for k, m := range w.msgs {
		c.msgs[k] = m
	}
	return c
}

func (m *message) key() string {
	b := make([]byte, 0, 64)
	b = append(b, byte(m.leader), byte(m.rank))
	if m.answer {
		r := &m.reply
		b = append(b, 'r', r.Kind[0], boolByte(r.OK), boolByte(r.Deposed), byte(r.Incarnation), byte(r.Seq))
		return string(appendState(b, &r.Rank))
	}
	o := &m.order
	b = append(b, 'o', o.Kind[0], byte(o.Incarnation), byte(o.Seq), byte(o.Step))
	return string(binary.AppendUvarint(b, o.Version))
}

func appendState(b []byte, s *proto.RankState) []byte {
	b = append(b, byte(s.Step), boolByte(s.Capped), byte(s.CapStep), boolByte(s.Granted))
	b = binary.AppendUvarint(b, s.Version)
	return binary.AppendUvarint(b, s.CapMap)
}

func boolByte(v bool) byte {
	if v {
		return 1
	}
	return 0
}

// send puts a leader's open orders among the messages.
func (w *world) send(leader int) {
	l := &w.leaders[leader]
	for r := range l.Ranks {
		if o := l.Order(r); o != nil {
			o.Map = nil
			m := message{leader: leader, rank: r, order: *o}
			w.msgs[m.key()] = m
		}
	}
}

// prune drops messages that can't have any effect any more.
func (w *world) prune() {
	for k, m := range w.msgs {
		l := &w.leaders[m.leader]
		g := &w.guards[m.rank]
		seq := m.order.Seq
		if m.answer {
			seq = m.reply.Seq
		}
		old := seq < l.Seq
		dead := !m.answer && m.order.Fence == g.Fence && m.order.Seq < g.Seq
		gone := !m.answer && old && m.order.Kind != proto.OrderInquire && m.order.Incarnation != g.Incarnation
		counted := m.answer && seq == l.Seq && l.Ranks[m.rank].Answered
		silenced := l.Phase == PhaseDeposed && (m.answer || m.order.Fence < g.Fence)
		if m.answer && !m.reply.Deposed && (old || counted) || dead || gone || silenced {
			delete(w.msgs, k)
		}
	}
}

func (w *world) key() string {
	b := make([]byte, 0, 256)
	for i := range w.engines {
		e := &w.engines[i]
		b = append(b, byte(e.step), boolByte(e.capped), byte(e.capStep), boolByte(e.granted))
		b = binary.AppendUvarint(b, e.version)
		b = binary.AppendUvarint(b, e.capMap)
		g := &w.guards[i]
		b = append(b, byte(g.Incarnation), byte(g.Fence), byte(g.Seq))
	}
	for i := range w.leaders {
		l := &w.leaders[i]
		b = append(b, byte(l.Phase), byte(l.Seq), byte(l.Plan.Step), boolByte(w.proposed[i]))
		b = binary.AppendUvarint(b, l.Plan.Version)
		for r := range l.Ranks {
			v := &l.Ranks[r]
			b = append(b, boolByte(v.Answered), boolByte(v.OK), byte(v.Incarnation))
			b = appendState(b, &v.State)
		}
	}
	b = append(b, byte(w.aborted), byte(w.restarts))
	for _, u := range w.used {
		for _, v := range u {
			b = binary.AppendUvarint(b, v)
		}
	}
	keys := make([]string, 0, len(w.msgs))
	for k := range w.msgs {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return string(b) + strings.Join(keys, "|")
}

// twoMaps returns the first step that two ranks took under different maps.
func (w *world) twoMaps() (int, bool) {
	for s, u := range w.used {
		seen := uint64(0)
		for _, v := range u {
			if v != 0 && seen != 0 && v != seen {
				return s, true
			}
			seen = max(seen, v)
		}
	}
	return 0, false
}

// nexts calls fn with every state that one event leads to.
func (w *world) nexts(b bounds, mut mutation, fn func(*world)) {
	w.stepNexts(b, fn)
	keys := lo.Keys(w.msgs)
	// The same order every time, so that a bounded exploration visits the same states.
	sort.Strings(keys)
	for _, k := range keys {
		n := w.clone()
		if n.deliver(w.msgs[k], mut) {
			fn(n)
		}
	}
	for i := range w.leaders {
		w.leaderNexts(b, i, mut, fn)
	}
	if w.restarts < b.restarts {
		for r := range w.guards {
			n := w.clone()
			n.guards[r] = Guard{Incarnation: n.guards[r].Incarnation + 1}
			n.restarts++
			fn(n)
		}
	}
}

func (w *world) stepNexts(b bounds, fn func(*world)) {
	slowest := w.engines[0].step
	for i := range w.engines {
		slowest = min(slowest, w.engines[i].step)
	}
	for r := range w.engines {
		s := w.engines[r].step
		// Ranks run in lock-step: nobody begins a step before all have begun the one before it.
		if s > b.steps || s > slowest {
			continue
		}
		n := w.clone()
		if v, ok := n.engines[r].begin(); ok {
			n.used[s][r] = v
			fn(n)
		}
	}
}

func (w *world) deliver(m message, mut mutation) bool {
	if m.answer {
		l := &w.leaders[m.leader]
		before := *l
		view := l.Ranks[m.rank]
		l.Handle(m.rank, &m.reply)
		if mut == smallQuorum {
			w.fakeQuorum(l)
		}
		if l.Phase == before.Phase && l.Seq == before.Seq && l.Ranks[m.rank].Answered == view.Answered && l.Ranks[m.rank].OK == view.OK {
			return false
		}
		w.send(m.leader)
		return true
	}
	g := &w.guards[m.rank]
	o := m.order
	switch mut {
	case noFence:
		g.Fence, g.Seq = 0, 0
	case noIncarnation:
		o.Incarnation = g.Incarnation
	}
	e := &w.engines[m.rank]
	e.ignoring = mut == noCap
	reply, err := g.Handle(&o, e)
	e.ignoring = false
	if err != nil {
		return false
	}
	if mut == noIncarnation {
		reply.Incarnation = 1
	}
	if reply.Deposed {
		reply.Seq, reply.Kind = 0, proto.OrderInquire
	}
	a := message{leader: m.leader, rank: m.rank, reply: reply, answer: true}
	w.msgs[a.key()] = a
	return true
}

// fakeQuorum lets a leader go on although the last rank has not answered.
func (w *world) fakeQuorum(l *Leader) {
	last := len(l.Ranks) - 1
	for i := range last {
		if !l.Ranks[i].Answered {
			return
		}
	}
	if l.Phase == PhaseCap && !l.Ranks[last].Answered {
		l.Ranks[last].Answered, l.Ranks[last].OK = true, true
		l.advance()
	}
}

func (w *world) leaderNexts(b bounds, i int, mut mutation, fn func(*world)) {
	l := &w.leaders[i]
	if l.Phase == PhaseSteady && !w.proposed[i] {
		n := w.clone()
		n.proposed[i] = true
		n.leaders[i].Propose(nil, 1)
		n.leaders[i].Plan.Step = 0
		n.send(i)
		fn(n)
	}
	if w.aborted < b.aborts && l.Phase == PhaseCap {
		n := w.clone()
		n.aborted++
		n.leaders[i].Abort()
		n.send(i)
		fn(n)
	}
	if mut == uncapGranted && l.Phase == PhaseGrant || mut == noInquiry && l.Phase == PhaseInquire && l.Fence > 1 {
		n := w.clone()
		u := &n.leaders[i]
		for r := range u.Ranks {
			u.Ranks[r].State.CapMap = versionsPerFence + 1
			u.Ranks[r].Incarnation = 1
			if mut == uncapGranted {
				u.Ranks[r].State.CapMap = u.Plan.Version
			}
		}
		u.enter(PhaseUncap)
		n.send(i)
		fn(n)
	}
}
