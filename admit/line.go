package admit

import (
	"slices"
	"time"
)

const (
	// firstWindow is how many requests of an entry may be on their way to a beginning while nothing is known of the service: three times what
	// an entry of today has in calm.
	firstWindow = 4
	// leastWindow and mostWindow bound that number; without any nothing would be learned, and no entry of today has the upper one.
	leastWindow = 1
	mostWindow  = 64
	// shrink and grow change it, the one once for a crowd, the other with each beginning: at some ten beginnings a second a crowd of three
	// times the traffic is met within half a second, and the window is as it was two seconds after it.
	shrink = 0.7
	grow   = 0.3
	// crowdedPart is the part of its aim from which a delay tells of a crowded upstream: in calm a beginning takes less than half.
	crowdedPart = 0.6
	// delayGain is the weight of one beginning in the mean of the delays.
	delayGain = 0.15
	// firstDelay stands for that mean until a request has begun: two steps of a group.
	firstDelay = 150 * time.Millisecond
	// darkAfter and darkRefusals say when a service counts as dark: nothing has begun for longer than four steps of a group take, and several
	// requests were refused or lost meanwhile.
	darkAfter    = 400 * time.Millisecond
	darkRefusals = 3
	// stillAfter is how long nothing begins, though requests were sent, before a group counts as standing: four steps.
	stillAfter = 400 * time.Millisecond
	// overtakenAims is after how many times its aim a request that others have overtaken waits for an upstream that is silent alone.
	overtakenAims = 3
	// leastCapacity keeps a wait finite, in requests a second.
	leastCapacity = 0.1
)

// Line holds the requests of one entry for one service; it is not safe for use by several goroutines. Under three times the traffic engines'
// own queues make everything late: before 16 ranks and nine entries 0.52 of the callers' worth is served with a line in place of 0.41 (four
// seeds each). Before 72 ranks and 42 entries, of which each learns its window from few beginnings, it cost 0.05 and more, so that no
// gateway uses it.
type Line struct {
	// ProbeEvery is how often a dark service is sent a request.
	ProbeEvery time.Duration

	waiting []*Ticket
	sent    []*Ticket
	begins  rate
	arrived rate
	// delay is the mean time from the sending of a request to its beginning.
	delay time.Duration
	// window is how many requests may be underway, learned from how crowded upstreams are as requests begin.
	window   float64
	shrunk   time.Time
	begun    time.Time
	refusals int
	probed   time.Time
}

// NewLine returns a line of which nothing is known.
func NewLine(probeEvery time.Duration) *Line {
	return &Line{
		ProbeEvery: probeEvery,
		delay:      firstDelay,
		window:     firstWindow,
	}
}

// Join takes a request in; its ticket is decided at once or by a later call.
func (l *Line) Join(now time.Time, a Ask) *Ticket {
	t := &Ticket{
		Ask:     a,
		Decided: make(chan struct{}),
	}
	if !a.Again && t.timely(now) {
		l.arrived.add(now)
	}
	if l.hopeless(now, t) {
		t.decide(StateRefused)
		return t
	}
	l.waiting = append(l.waiting, t)
	l.Poll(now)
	return t
}

// Begun notes that a request that was sent has begun; full is true when its upstream says that it runs all it can and others wait there.
func (l *Line) Begun(now time.Time, t *Ticket, full bool) {
	if t.state != StateSent {
		return
	}
	l.over(t)
	l.begins.add(now)
	took := now.Sub(t.sent)
	l.delay += time.Duration(delayGain * float64(took-l.delay))
	switch crowded := full || took > time.Duration(crowdedPart*float64(t.Aim)); {
	case crowded && t.sent.Before(l.shrunk):
		// It was sent under a wider window: judged by it, the window would shrink again and again for one and the same crowd.
	case crowded:
		l.window = max(leastWindow, l.window*shrink)
		l.shrunk = now
	case float64(l.underway()+1) > l.window/2:
		// A window that is not used says nothing of what could be underway.
		l.window = min(mostWindow, l.window+grow)
	}
	l.begun = now
	l.refusals = 0
	l.Poll(now)
}

// Failed notes that a request that was sent has ended without a beginning; refused is true when its upstream is the cause.
func (l *Line) Failed(now time.Time, t *Ticket, refused bool) {
	if t.state != StateSent {
		return
	}
	l.over(t)
	if refused {
		l.refusals++
	}
	l.Poll(now)
}

// Quit takes out a request whose caller has left.
func (l *Line) Quit(now time.Time, t *Ticket) {
	l.over(t)
	l.Poll(now)
}

func (l *Line) over(t *Ticket) {
	same := func(o *Ticket) bool { return o == t }
	l.sent = slices.DeleteFunc(l.sent, same)
	l.waiting = slices.DeleteFunc(l.waiting, same)
	t.state = StateOver
}

// Poll refuses what can't be sent in time any more and sends what may go; it returns true while requests wait.
func (l *Line) Poll(now time.Time) bool {
	l.refuse(func(t *Ticket) bool { return !now.Before(t.Leave) })
	for l.mayGo(now) {
		t := l.next(now)
		l.waiting = slices.DeleteFunc(l.waiting, func(o *Ticket) bool { return o == t })
		l.sent = append(l.sent, t)
		l.probed = now
		t.sent = now
		t.decide(StateSent)
	}
	l.thin(now)
	return len(l.waiting) > 0
}

// thin refuses what waits while the service is dark, and what can't be on time any more while more come that can than the service begins: both
// would wait for nothing. It is called once everything has been sent that may go, since only what is sent tells how long a beginning takes.
func (l *Line) thin(now time.Time) {
	if l.Dark(now) {
		l.refuse(func(*Ticket) bool { return true })
		return
	}
	if l.still(now) || l.arrived.perSecond(now) <= l.capacity(now) {
		return
	}
	begins := now.Add(l.beginsAfter(now))
	l.refuse(func(t *Ticket) bool { return !t.timely(begins) })
}

func (l *Line) refuse(which func(t *Ticket) bool) {
	l.waiting = slices.DeleteFunc(l.waiting, func(t *Ticket) bool {
		over := which(t)
		if over {
			t.decide(StateRefused)
		}
		return over
	})
}

// mayGo returns true when one more request may be sent.
func (l *Line) mayGo(now time.Time) bool {
	if len(l.waiting) == 0 {
		return false
	}
	if l.Dark(now) {
		return now.Sub(l.probed) >= l.ProbeEvery
	}
	return float64(l.underway()) < l.window
}

// underway counts the requests that were sent and have not begun. One that others have overtaken by its aim waits for an upstream that has
// fallen silent alone, and says nothing of the service.
func (l *Line) underway() int {
	n := 0
	for _, t := range l.sent {
		if l.begun.Sub(t.sent) < overtakenAims*t.Aim {
			n++
		}
	}
	return n
}

// next returns the waiting request that goes first.
func (l *Line) next(now time.Time) *Ticket {
	begins := now.Add(l.beginsAfter(now))
	var best *Ticket
	for _, t := range l.waiting {
		if best == nil || t.before(best, begins) {
			best = t
		}
	}
	return best
}

// beginsAfter is how long a request that is sent now takes to begin: as long as others did, or longer while nothing begins at all.
func (l *Line) beginsAfter(now time.Time) time.Duration {
	if len(l.sent) == 0 {
		return l.delay
	}
	since := l.sent[0].sent
	if l.begun.After(since) {
		since = l.begun
	}
	return max(l.delay, now.Sub(since))
}

// capacity is how many requests a second begin while the window is full.
func (l *Line) capacity(now time.Time) float64 {
	return max(l.window/l.delay.Seconds(), l.begins.perSecond(now))
}

// hopeless returns true for a request that can't be sent in time behind those that go before it.
func (l *Line) hopeless(now time.Time, t *Ticket) bool {
	if l.Dark(now) {
		return t.Again || now.Sub(l.probed) < l.ProbeEvery
	}
	if len(l.waiting) == 0 && float64(l.underway()) < l.window {
		// What was learned under a crowd must not outlast it: only what is sent tells how long a beginning takes now.
		return false
	}
	begins := now.Add(l.beginsAfter(now))
	capacity := l.capacity(now)
	timely := 0
	for _, w := range l.waiting {
		if w.timely(begins) {
			timely++
		}
	}
	if l.still(now) || t.timely(begins.Add(timeFor(timely, capacity))) {
		return false
	}
	// It is late already, and goes after those that come and can be on time.
	return now.Add(timeFor(len(l.waiting)+1, capacity-l.arrived.perSecond(now))).After(t.Leave)
}

// timeFor returns how long n requests take to be sent.
func timeFor(n int, capacity float64) time.Duration {
	return time.Duration(float64(n) / max(capacity, leastCapacity) * float64(time.Second))
}

// still returns true while nothing begins of what was sent: the group stands, which says nothing of how much it can do.
func (l *Line) still(now time.Time) bool {
	return l.beginsAfter(now) > max(stillAfter, 2*l.delay)
}

// Dark returns true while the service seems unable to begin anything.
func (l *Line) Dark(now time.Time) bool {
	return l.refusals >= darkRefusals && now.Sub(l.begun) > darkAfter
}
