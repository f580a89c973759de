package admit

import (
	"testing"
	"time"
)

const target = 400 * time.Millisecond

// fresh returns the request of a caller's first attempt.
func fresh(now time.Time) Request {
	return Request{
		Target:  target,
		StartBy: now.Add(target),
		SendBy:  now.Add(time.Second),
	}
}

// retried returns the request of a caller that retries after a rejection and is already late.
func retried(now time.Time) Request {
	a := fresh(now)
	a.StartBy = now.Add(-time.Second)
	return a
}

func newTestController() *Controller {
	return NewController(100 * time.Millisecond)
}

// fill sends as many requests as the initial window holds.
func fill(c *Controller, now time.Time) []*Ticket {
	var sent []*Ticket
	for range initialWindow {
		sent = append(sent, c.Submit(now, fresh(now)))
	}
	return sent
}

func TestWindowBoundsInFlight(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestController()
	sent := fill(c, now)
	waits := c.Submit(now, fresh(now))
	if waits.State() != StateWaiting {
		t.Fatalf("request beyond the window is not waiting: state %d", waits.State())
	}
	c.Started(now.Add(100*time.Millisecond), sent[0], false)
	if waits.State() != StateSent {
		t.Errorf("waiting request not sent after a start: state %d", waits.State())
	}
}

// TestOnTimeRequestsGoFirst guards against late requests that take the places of those that can
// still be on time.
func TestOnTimeRequestsGoFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestController()
	sent := fill(c, now)
	late := c.Submit(now, retried(now))
	timely := c.Submit(now, fresh(now))
	c.Cancel(now, sent[0])
	if timely.State() != StateSent || late.State() != StateWaiting {
		t.Errorf("timely %d, late %d, want sent and waiting", timely.State(), late.State())
	}
}

// TestOverloadIsRejectedOnArrival submits three times as many requests as the service starts: within
// two seconds, those that can't be on time are rejected on arrival, and those that are sent start
// within their target.
func TestOverloadIsRejectedOnArrival(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestController()
	const (
		step = 10 * time.Millisecond
		// submitEvery is the interval between requests, startEvery the interval between starts, and
		// quickest the minimum start delay, all in steps.
		submitEvery   = 3
		startEvery    = 9
		minStartDelay = 15
	)
	var inFlight []*Ticket
	submitted, rejected, startedLate, started := 0, 0, 0, 0
	for i := range 1000 {
		now = now.Add(step)
		if i%submitEvery == 0 {
			tk := c.Submit(now, fresh(now))
			inFlight = append(inFlight, tk)
			if i > 200 {
				submitted++
				if tk.State() == StateRejected {
					rejected++
				}
			}
		}
		c.Poll(now)
		if i%startEvery != 0 {
			continue
		}
		for k, tk := range inFlight {
			if tk.State() != StateSent || now.Sub(tk.sentAt) < minStartDelay*step {
				continue
			}
			inFlight = append(inFlight[:k:k], inFlight[k+1:]...)
			c.Started(now, tk, len(c.sent) > 2)
			if i > 200 {
				started++
				if now.After(tk.StartBy) {
					startedLate++
				}
			}
			break
		}
	}
	if started < 85 {
		t.Errorf("%d requests started in eight seconds, of 89 that the service can start", started)
	}
	if startedLate*10 > started {
		t.Errorf("%d of %d requests started late", startedLate, started)
	}
	if rejected*2 < submitted-started {
		t.Errorf("%d of the %d requests that did not start were rejected on arrival", rejected, submitted-started)
	}
}

// TestIdleServiceAdmitsAfterOverload guards against congestion estimates that reject requests while
// nothing is in flight: with nothing sent, the estimates are never updated and every request is
// rejected for good.
func TestIdleServiceAdmitsAfterOverload(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestController()
	for range 50 {
		tk := c.Submit(now, fresh(now))
		now = now.Add(500 * time.Millisecond)
		if tk.State() == StateSent {
			c.Started(now, tk, true)
		}
	}
	for i := range 50 {
		now = now.Add(20 * time.Millisecond)
		c.arrivalRate.add(now)
		if tk := c.Submit(now, fresh(now)); i == 0 && tk.State() != StateSent {
			t.Fatalf("request not sent with nothing in flight: state %d", tk.State())
		}
	}
}

// TestStalledGroupIsNotOverload stalls a group for a second with few callers: their requests wait
// instead of being rejected.
func TestStalledGroupIsNotOverload(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestController()
	var all []*Ticket
	for range 6 {
		all = append(all, c.Submit(now, fresh(now)))
		now = now.Add(150 * time.Millisecond)
		c.Poll(now)
	}
	for i, tk := range all {
		if tk.State() == StateRejected {
			t.Errorf("request %d was rejected while the group was stalled", i)
		}
	}
}

// TestUnavailableServiceIsProbed has a service refuse all requests for six seconds: it gets some
// probes per second, other requests are rejected on arrival, and its first start admits others.
func TestUnavailableServiceIsProbed(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestController()
	sent, asked := 0, 0
	for range 600 {
		now = now.Add(10 * time.Millisecond)
		asked++
		tk := c.Submit(now, fresh(now))
		switch tk.State() {
		case StateSent:
			sent++
			c.Failed(now, tk, true)
		case StateWaiting:
			t.Fatal("request waits for an unavailable service")
		}
	}
	if most := 60 + unavailableFailures + 40; sent > most || sent < 50 {
		t.Errorf("%d of %d requests were sent to an unavailable service, want 50 to %d", sent, asked, most)
	}
	now = now.Add(c.ProbeEvery)
	probe := c.Submit(now, fresh(now))
	if probe.State() != StateSent {
		t.Fatal("no probe was sent to the unavailable service")
	}
	now = now.Add(100 * time.Millisecond)
	c.Started(now, probe, false)
	if next := c.Submit(now, fresh(now)); next.State() != StateSent {
		t.Errorf("request after recovery was not sent: state %d", next.State())
	}
}

// TestSilentUpstreamDoesNotFillWindow has one upstream never start its requests while others do.
func TestSilentUpstreamDoesNotFillWindow(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestController()
	for range initialWindow - 1 {
		c.Submit(now, fresh(now))
	}
	for range 20 {
		tk := c.Submit(now, fresh(now))
		now = now.Add(100 * time.Millisecond)
		if tk.State() == StateSent {
			c.Started(now, tk, false)
		}
	}
	if n := c.inFlight(); n != 0 {
		t.Errorf("%d requests to a silent upstream count towards the window", n)
	}
}

func TestCanceledRequestFreesItsPlace(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestController()
	sent := fill(c, now)
	leaves, stays := c.Submit(now, fresh(now)), c.Submit(now, fresh(now))
	c.Cancel(now, leaves)
	c.Cancel(now, sent[0])
	if stays.State() != StateSent {
		t.Errorf("place of a canceled request was not reused: state %d", stays.State())
	}
}
