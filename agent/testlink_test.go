package agent

import (
	"testing"
	"time"

	"geraniumpass/proto"
	"geraniumpass/wire"
)

// testLink dials the agent and collects the frames it sends.
type testLink struct {
	link   *wire.Link
	frames chan *proto.Frame
}

func dial(t *testing.T, a *Agent, role string, incarnation uint64) *testLink {
	t.Helper()
	self := wire.Identity{
		ID:          "entry-1",
		Role:        role,
		Incarnation: incarnation,
	}
	end := time.Now().Add(testTimeout)
	for {
		l, err := wire.Dial(a.cfg.Listen, self, []byte(testKey))
		if err == nil {
			tl := &testLink{
				link:   l,
				frames: make(chan *proto.Frame, 1024),
			}
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = l.Receive(func(f *proto.Frame) { tl.frames <- f })
			}()
			t.Cleanup(func() {
				l.Close()
				<-done
			})
			return tl
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
}

// next returns the next frame that is not a report.
func (l *testLink) next(t *testing.T) *proto.Frame {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case f := <-l.frames:
			if f.Report == nil {
				return f
			}
		case <-timeout:
			t.Fatal("no frame received before the timeout")
		}
	}
}

func (l *testLink) send(t *testing.T, f *proto.Frame) {
	t.Helper()
	if err := l.link.Send(f); err != nil {
		t.Fatal(err)
	}
}

// sync waits until the agent has handled every frame sent before.
func (l *testLink) sync(t *testing.T) {
	t.Helper()
	l.send(t, &proto.Frame{Heartbeat: &proto.Heartbeat{}})
	timeout := time.After(testTimeout)
	for {
		select {
		case f := <-l.frames:
			if f.Report != nil {
				return
			}
		case <-timeout:
			t.Fatal("no report received before the timeout")
		}
	}
}

// awaitLeaving waits for the report that the agent leaves.
func (l *testLink) awaitLeaving(t *testing.T) {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case f := <-l.frames:
			if f.Report != nil && f.Report.Leaving {
				return
			}
		case <-timeout:
			t.Fatal("no leaving report received before the timeout")
		}
	}
}
