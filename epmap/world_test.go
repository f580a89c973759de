package epmap

import (
	"encoding/binary"
	"sort"
	"strings"

	"geraniumpass/proto"
)

// mutation disables one mechanism of the protocol, to show that the exploration detects its
// absence.
type mutation string

const (
	noMutation    mutation = ""
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

// message is an order or reply that was sent. It stays deliverable, which covers every loss, delay,
// repeat and reordering.
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

// send adds a leader's pending orders to the messages.
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

// prune drops messages that can no longer have an effect.
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

// mapConflict returns the first step that two ranks executed under different maps.
func (w *world) mapConflict() (int, bool) {
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
