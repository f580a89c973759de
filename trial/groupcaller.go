package trial

import (
	"slices"
	"time"

	"geraniumpass/admit"
	"geraniumpass/retry"
	"geraniumpass/route"
)

// groupCaller is one caller with its request.
type groupCaller struct {
	w      *groupWorld
	window int
	asked  time.Duration
	entry  int
	rank   int
	again  bool
	// begun is true once an event has come, late once one came too late; last is when the last one came.
	begun  bool
	late   bool
	last   time.Duration
	done   bool
	stream *stream
	ticket *admit.Ticket
}

// ask sends the caller's request to an entry.
func (c *groupCaller) ask() {
	w := c.w
	c.entry = w.random.IntN(groupEntries)
	c.last = w.now
	if w.lines == nil {
		c.send()
		return
	}
	onTime := w.time().Add(groupAim)
	if c.again && w.now-c.asked > callerTime/5 {
		// An entry sees from the time left that such a caller has been here before.
		onTime = epoch.Add(c.asked + groupAim)
	}
	c.ticket = w.lines[c.entry].Submit(w.time(), admit.Request{
		Target:  groupAim,
		StartBy: onTime,
		SendBy:  w.time().Add(lineTime),
	})
	w.pending = append(w.pending, c)
	w.settle()
}

// settle acts on the tickets that have been decided.
func (w *groupWorld) settle() {
	for _, c := range slices.Clone(w.pending) {
		state := c.ticket.State()
		if state == admit.StateWaiting {
			continue
		}
		w.pending = slices.DeleteFunc(w.pending, func(o *groupCaller) bool { return o == c })
		if state == admit.StateSent {
			c.send()
		} else {
			c.refused()
		}
	}
}

// send gives the request to the rank with the least load as its entry sees it.
func (c *groupCaller) send() {
	w := c.w
	seen := make([]route.InstanceView, groupRanks)
	for r := range seen {
		seen[r] = route.InstanceView{
			Load:  float64(w.own[c.entry][r]) + w.others(c.entry, r),
			Slots: groupSlots,
		}
	}
	c.rank = route.LeastLoaded(seen, "", w.random)
	s := drawn(w.random)
	s.begun = c.began
	s.event = c.event
	s.over = c.over
	c.stream = s
	if !w.group.send(c.rank, s) {
		w.failed(c, true)
		c.refused()
		return
	}
	w.own[c.entry][c.rank]++
	w.after(callerPatience, func() { c.leave(s) })
}

// others is the load that other entries gave a rank as its last answer told this one, with a lag of about one answer.
func (w *groupWorld) others(entry, rank int) float64 {
	running, waiting := w.group.load(rank)
	return float64(running+waiting-w.own[entry][rank]) * reportTrust
}

func (c *groupCaller) began(full bool) {
	c.late = c.late || c.w.now-c.asked > groupAim
	c.begun = true
	c.last = c.w.now
	if c.w.lines != nil {
		c.w.lines[c.entry].Started(c.w.time(), c.ticket, full)
		c.w.settle()
	}
}

func (c *groupCaller) event() {
	c.late = c.late || c.w.now-c.last > groupPause
	c.last = c.w.now
}

// over is the end of the request at its rank.
func (c *groupCaller) over(whole bool) {
	w := c.w
	w.own[c.entry][c.rank]--
	c.stream.gone = true
	switch {
	case whole && c.late:
		c.count(w.result.Late)
	case whole:
		c.count(w.result.OnTime)
	case c.begun || c.again:
		w.failed(c, true)
		c.count(w.result.Failed)
	default:
		w.failed(c, true)
		c.refused()
	}
}

// leave ends the request of a caller whose patience is over.
func (c *groupCaller) leave(s *stream) {
	w := c.w
	if c.done || s.gone || c.stream != s {
		return
	}
	if quiet := w.now - c.last; quiet < callerPatience {
		w.after(callerPatience-quiet, func() { c.leave(s) })
		return
	}
	s.gone = true
	w.own[c.entry][c.rank]--
	w.failed(c, false)
	c.count(w.result.Failed)
}

// failed tells the line that a request has ended without a beginning.
func (w *groupWorld) failed(c *groupCaller, refused bool) {
	if w.lines != nil && !c.begun {
		w.lines[c.entry].Failed(w.time(), c.ticket, refused)
		w.settle()
	}
}

// refused has the caller return once.
func (c *groupCaller) refused() {
	w := c.w
	if c.again {
		c.count(w.result.Refused)
		return
	}
	c.again = true
	w.after(retry.Backoff(retry.Rejection{
		TargetLatency: groupAim,
		Remaining:     callerTime - (w.now - c.asked),
		Unavailable:   within(w.scenario.Dark, w.now),
	}, w.random.IntN), c.ask)
}

func (c *groupCaller) count(in []int) {
	if !c.done {
		c.done = true
		in[c.window]++
	}
}
