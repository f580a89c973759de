package epmap

import (
	"sort"
	"testing"

	"github.com/samber/lo"

	"geraniumpass/check"
	"geraniumpass/proto"
)

// script drives a world of two ranks and two leaders event by event.
type script struct {
	t   *testing.T
	w   *world
	mut mutation
}

// deliverOrders delivers a leader's pending orders of one kind to the given ranks, and the replies
// to the leader if answer is set.
func (s *script) deliverOrders(leader int, kind proto.OrderKind, answer bool, ranks ...int) {
	s.t.Helper()
	for _, r := range ranks {
		m, ok := s.find(func(m message) bool {
			return !m.answer && m.leader == leader && m.rank == r && m.order.Kind == kind
		})
		if !ok {
			s.t.Fatalf("leader %d has not sent %s to rank %d; phase %s", leader, kind, r, s.w.leaders[leader].Phase)
		}
		s.w.deliver(m, s.mut)
		if answer {
			s.deliverReply(leader, r)
		}
	}
}

func (s *script) deliverReply(leader, rank int) {
	seq := s.w.leaders[leader].Seq
	m, ok := s.find(func(m message) bool {
		return m.answer && m.leader == leader && m.rank == rank && m.reply.Seq == seq
	})
	if ok {
		s.w.deliver(m, s.mut)
	}
}

// find returns the newest matching message.
func (s *script) find(match func(message) bool) (message, bool) {
	keys := lo.Keys(s.w.msgs)
	sort.Strings(keys)
	var best message
	found := false
	for _, k := range keys {
		m := s.w.msgs[k]
		if match(m) && (!found || m.order.Seq > best.order.Seq) {
			best, found = m, true
		}
	}
	return best, found
}

func (s *script) restart(rank int) {
	s.w.guards[rank] = Guard{Incarnation: s.w.guards[rank].Incarnation + 1}
}

func (s *script) propose(leader int) {
	s.w.leaders[leader].Propose(nil, 1)
	s.w.leaders[leader].Plan.Step = 0
	s.w.send(leader)
}

// step starts step 1 on every rank that has not started it and is not held by a cap.
func (s *script) step() {
	for r := range s.w.engines {
		if s.w.engines[r].step > 1 {
			continue
		}
		if v, ok := s.w.engines[r].beginStep(); ok {
			s.w.used[1][r] = v
		}
	}
}

// capBoth advances leader 0 until its grants are sent but not delivered.
func (s *script) capBoth() {
	s.deliverOrders(0, proto.OrderInquire, true, 0, 1)
	s.propose(0)
	s.deliverOrders(0, proto.OrderStage, true, 0, 1)
	s.deliverOrders(0, proto.OrderCap, true, 0, 1)
	if p := s.w.leaders[0].Phase; p != PhaseGrant {
		s.t.Fatalf("leader 0 is in phase %s", p)
	}
}

func TestScriptedSwitches(t *testing.T) {
	tests := []struct {
		name string
		mut  mutation
		run  func(s *script)
		want bool
	}{
		{name: "old grant at a restarted rank", run: staleGrant},
		{name: "old grant at a restarted rank", mut: noIncarnation, run: staleGrant, want: true},
		{name: "restart in the midst of an inquiry", run: restartInInquiry},
		{name: "restart in the midst of an inquiry", mut: noConfirm, run: restartInInquiry, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name+" "+string(tt.mut), func(t *testing.T) {
			check.SetFatal(true)
			s := &script{t: t, w: newWorld(bounds{ranks: 2, leaders: 2, steps: 1}), mut: tt.mut}
			tt.run(s)
			if _, got := s.w.mapConflict(); got != tt.want {
				t.Errorf("step under two maps: %t, want %t; used %v", got, tt.want, s.w.used)
			}
		})
	}
}

// staleGrant: leader 1 removes the caps, then rank 1 restarts and receives the old leader's grant.
func staleGrant(s *script) {
	s.capBoth()
	s.deliverOrders(1, proto.OrderInquire, true, 0, 1)
	s.deliverOrders(1, proto.OrderInquire, true, 0, 1)
	s.deliverOrders(1, proto.OrderUncap, true, 0)
	s.step()
	s.restart(1)
	s.deliverOrders(0, proto.OrderGrant, true, 1)
	s.step()
}

// restartInInquiry: rank 1 answers leader 1 before the old leader's cap and restarts, so that the
// old leader may continue there.
func restartInInquiry(s *script) {
	s.deliverOrders(1, proto.OrderInquire, true, 1)
	s.restart(1)
	s.capBoth()
	s.deliverOrders(1, proto.OrderInquire, true, 0)
	l := &s.w.leaders[1]
	if s.mut == noConfirm && l.Phase == PhaseConfirm {
		l.enterPhase(PhaseUncap)
		s.w.send(1)
	}
	if l.Phase == PhaseUncap {
		s.deliverOrders(1, proto.OrderUncap, true, 0)
	} else {
		s.deliverOrders(1, proto.OrderInquire, true, 0, 1)
	}
	s.step()
	s.deliverOrders(0, proto.OrderGrant, true, 1)
	s.step()
}
