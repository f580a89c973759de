package feed

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"geraniumpass/loads"
	"geraniumpass/proto"
	"geraniumpass/wire"
)

// expect waits for the next event, which must be the given one.
func expect(t *testing.T, events <-chan string, want string) {
	t.Helper()
	select {
	case got := <-events:
		if got != want {
			t.Fatalf("%s, want %s", got, want)
		}
	case <-time.After(5 * time.Second):
		t.Fatalf("timed out waiting for %s", want)
	}
}

// awaitStatus waits until the board has a new status.
func awaitStatus(t *testing.T, heard <-chan struct{}) {
	t.Helper()
	select {
	case <-heard:
	case <-time.After(5 * time.Second):
		t.Fatal("timed out waiting for a status")
	}
}

// TestSubscriptionIsRenewed guards against a feed that ends every few seconds, because agents close links
// on which they receive nothing.
func TestSubscriptionIsRenewed(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const (
		// linkTimeout is the silence after which package wire closes a link.
		linkTimeout = 5 * time.Second

		asked = "subscription"
	)
	if renewInterval > linkTimeout/2 {
		t.Errorf("renewed every %s, want twice within %s", renewInterval, linkTimeout)
	}
	events, links := make(chan string, 10), make(chan *wire.Link, 1)
	acceptLinks(t, ln, "agent", func(l *wire.Link) {
		links <- l
		_ = l.Receive(func(f *proto.Frame) {
			if f.GroupLoadRequest != nil {
				events <- asked
			}
		})
	})
	clock := clockwork.NewFakeClock()
	f := newFeeder(clock, nil, "")
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		reason := f.follow(ctx, agent{address: ln.Addr().String()}, func(*loads.Group) {})
		events <- reason.String()
	}()
	expect(t, events, asked)
	l := <-links
	status := &proto.Frame{GroupLoad: loads.Encode(&loads.Group{Name: "g", Open: true}, 1, true)}
	for range renewInterval / (silenceTimeout / 2) {
		// By the time that the second status is heard, the first has reset the timer of the silence.
		for range 2 {
			heard := f.Board.Changed()
			if err := l.Send(status); err != nil {
				t.Fatal(err)
			}
			awaitStatus(t, heard)
		}
		clock.Advance(silenceTimeout / 2)
	}
	expect(t, events, asked)
	cancel()
	expect(t, events, endUnneeded.String())
}
