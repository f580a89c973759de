package trial

import (
	"math/rand/v2"
	"time"

	"geraniumpass/queue"
	"geraniumpass/route"
)

// Policy is a way to choose upstreams and to order and admit work.
type Policy string

// The policies that are compared; Bound has one queue that sees everything without lag.
const (
	Product          Policy = "geraniumpass"
	RoundRobin       Policy = "round robin"
	LeastOutstanding Policy = "least outstanding"
	TwoChoices       Policy = "two choices"
	NoAdmission      Policy = "no admission"
	Bound            Policy = "bound"
)

// Policies lists all in the order of the tables.
var Policies = []Policy{Product, RoundRobin, LeastOutstanding, TwoChoices, NoAdmission, Bound}

// baselineLimit is what the baselines run at once: the knee, which they are given though the product must learn it.
const baselineLimit = knee

func (p Policy) discipline() discipline {
	switch p {
	case Product:
		return discipline{byTarget: true, shed: true}
	case NoAdmission:
		return discipline{byTarget: true}
	case Bound:
		return discipline{byTarget: true, shed: true, fixedLimit: upstreams * knee}
	}
	return discipline{fixedLimit: baselineLimit}
}

// entry is one entry's view in a trial.
type entry struct {
	w      *world
	domain int
	turn   int
	own    []float64
	log    []sentCost
	picker route.Picker
}

type sentCost struct {
	at   time.Duration
	to   int
	cost float64
}

func newEntry(w *world, i int, random *rand.Rand) *entry {
	return &entry{
		w:      w,
		domain: i % domains,
		turn:   i,
		own:    make([]float64, upstreams),
		picker: route.Picker{
			Domain: string(rune('A' + i%domains)),
			Random: random,
		},
	}
}

// sentSince returns the cost that this entry has sent to an upstream since a report was made.
func (e *entry) sentSince(to int, at time.Duration) float64 {
	sum := 0.0
	for i := len(e.log) - 1; i >= 0 && e.log[i].at >= at; i-- {
		if e.log[i].to == to {
			sum += e.log[i].cost
		}
	}
	return sum
}

func (e *entry) send(j *job, to int) {
	e.own[to] += j.cost
	e.log = append(e.log, sentCost{
		at:   e.w.now,
		to:   to,
		cost: j.cost,
	})
	if len(e.log) > 1<<14 {
		e.log = append([]sentCost{}, e.log[1<<13:]...)
	}
	e.w.upstreams[to].offer(j)
}

// route chooses an upstream by the policy and returns false when the request is refused at the entry.
func (e *entry) route(j *job) bool {
	w := e.w
	switch w.policy {
	case Bound:
		e.send(j, 0)
		return true
	case RoundRobin:
		e.turn++
		e.send(j, e.turn%upstreams)
		return true
	case LeastOutstanding:
		best := e.turn % upstreams
		e.turn++
		for u := range e.own {
			if e.own[u] < e.own[best] {
				best = u
			}
		}
		e.send(j, best)
		return true
	}
	return e.pick(j)
}

func (e *entry) pick(j *job) bool {
	w := e.w
	var candidates []route.Candidate
	var ids []int
	for _, u := range w.upstreams {
		if c, ok := u.candidate(e); ok {
			candidates = append(candidates, c)
			ids = append(ids, u.id)
		}
	}
	within := w.scenario.Classes[j.class].Within
	choice, ok := e.picker.Pick(candidates, route.Request{LatencyTarget: within})
	if !ok {
		return false
	}
	if w.policy == Product && j.hops == 0 && choice.Wait > time.Duration(float64(within-(w.now-j.came))*queue.Headroom) {
		w.giveUp(j, choice.Wait)
		return true
	}
	e.send(j, ids[choice.Index])
	return true
}
