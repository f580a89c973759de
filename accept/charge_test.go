package accept

import (
	"bytes"
	"errors"
	"testing"
	"time"
)

// acceptedConn returns the accepted side of a new connection.
func acceptedConn(t *testing.T, l *Listener) *Conn {
	t.Helper()
	dial(t, l)
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c, ok := nc.(*Conn)
	if !ok {
		t.Fatalf("accepted a %T", nc)
	}
	return c
}

// TestShortFieldsCostMoreThanTheirBytes guards against heads of short fields that are charged by their bytes
// only, of which they take twenty times as much.
func TestShortFieldsCostMoreThanTheirBytes(t *testing.T) {
	var i intake
	i.add(append([]byte("GET / HTTP/1.1\r\n"), bytes.Repeat([]byte("a:\n"), 1000)...))
	if i.cost() < 20*i.head {
		t.Errorf("a head of %d bytes and %d lines costs %d", i.head, i.lines, i.cost())
	}
}

// TestBodyIsChargedUntilTheRequestEnds guards against bodies that are held without being charged, and against
// budgets that are used up by requests that have ended.
func TestBodyIsChargedUntilTheRequestEnds(t *testing.T) {
	l := newTestListener(t, 10)
	c := acceptedConn(t, l)
	c.enter(phaseReading)
	const size = 300 << 10
	body, err := c.ReadBody(bytes.NewReader(make([]byte, size)), size, size)
	if err != nil || len(body) != size {
		t.Fatalf("%d bytes, %v", len(body), err)
	}
	if n := l.budget.Used(); n < size-maxFirstBodyBytes {
		t.Errorf("%d bytes are charged for a body of %d", n, size)
	}
	c.MarkRunning()
	c.enter(phaseWaiting)
	if n := l.budget.Used(); n != 0 {
		t.Errorf("%d bytes are charged after the request", n)
	}
	var noMemory *NoMemoryError
	if _, err := c.ReadBody(bytes.NewReader(make([]byte, 8<<20)), 8<<20, 0); !errors.As(err, &noMemory) {
		t.Errorf("a body of eight times the budget: %v", err)
	}
}

// TestSlowHolderIsClosedForAnother guards against requests that are refused while clients that send nothing
// hold the memory.
func TestSlowHolderIsClosedForAnother(t *testing.T) {
	l := newTestListener(t, 10)
	slow, next := acceptedConn(t, l), acceptedConn(t, l)
	slow.enter(phaseReading)
	for slow.Take(64 << 10) {
		continue
	}
	slow.mu.Lock()
	slow.since = l.now().Add(-2 * minReadingAge)
	slow.mu.Unlock()
	if !next.Take(512<<10) || !slow.isClosed() {
		t.Errorf("slow client closed: %v", slow.isClosed())
	}
}

// TestUnreadAnswerIsLate guards against clients that keep a connection without reading their answer.
func TestUnreadAnswerIsLate(t *testing.T) {
	now := time.Unix(1000, 0)
	c := &Conn{
		phase:        phaseRunning,
		since:        now,
		writingSince: now.Add(-stallTime - time.Second),
	}
	if !c.isLate(now, Limits{}) {
		t.Error("an answer that nobody reads is never late")
	}
}
