package trial

import (
	"math/rand/v2"
	"time"

	"geraniumpass/queue"
	"geraniumpass/route"
)

// Policy is a method of choosing upstreams and of ordering and admitting work.
type Policy string

// The compared policies. Bound is the ideal: a single queue with complete and current information.
const (
	Product          Policy = "geraniumpass"
	RoundRobin       Policy = "round robin"
	LeastOutstanding Policy = "least outstanding"
	TwoChoices       Policy = "two choices"
	NoAdmission      Policy = "no admission"
	Bound            Policy = "bound"
)

// Policies lists all policies in the order of the tables.
var Policies = []Policy{Product, RoundRobin, LeastOutstanding, TwoChoices, NoAdmission, Bound}

// baselineLimit is the concurrency limit of the baselines. They are given the knee, which the
// product has to learn.
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

// entry is the view of one entry in a trial.
type entry struct {
	w            *world
	domain       int
	nextIndex    int
	inFlightCost []float64
	sent         []sentCost
	picker       route.Picker
}

type sentCost struct {
	at   time.Duration
	to   int
	cost float64
}

func newEntry(w *world, i int, random *rand.Rand) *entry {
	return &entry{
		w:            w,
		domain:       i % domains,
		nextIndex:    i,
		inFlightCost: make([]float64, upstreams),
		picker: route.Picker{
			Domain: string(rune('A' + i%domains)),
			Random: random,
		},
	}
}

// sentSince returns the cost that this entry has sent to an upstream since a report was made.
func (e *entry) sentSince(to int, at time.Duration) float64 {
	sum := 0.0
	for i := len(e.sent) - 1; i >= 0 && e.sent[i].at >= at; i-- {
		if e.sent[i].to == to {
			sum += e.sent[i].cost
		}
	}
	return sum
}

func (e *entry) send(j *job, to int) {
	e.inFlightCost[to] += j.cost
	e.sent = append(e.sent, sentCost{
		at:   e.w.now,
		to:   to,
		cost: j.cost,
	})
	if len(e.sent) > 1<<14 {
		e.sent = append([]sentCost{}, e.sent[1<<13:]...)
	}
	e.w.upstreams[to].enqueue(j)
}

// route dispatches a job according to the policy and reports whether an upstream was available.
// Product also rejects a job here if its wait would miss the target.
func (e *entry) route(j *job) bool {
	w := e.w
	switch w.policy {
	case Bound:
		e.send(j, 0)
		return true
	case RoundRobin:
		e.nextIndex++
		e.send(j, e.nextIndex%upstreams)
		return true
	case LeastOutstanding:
		best := e.nextIndex % upstreams
		e.nextIndex++
		for u := range e.inFlightCost {
			if e.inFlightCost[u] < e.inFlightCost[best] {
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
	target := w.scenario.Classes[j.class].LatencyTarget
	choice, ok := e.picker.Pick(candidates, route.Request{LatencyTarget: target})
	if !ok {
		return false
	}
	if w.policy == Product && j.hops == 0 && choice.Wait > time.Duration(float64(target-(w.now-j.arrived))*queue.Headroom) {
		w.reject(j, choice.Wait)
		return true
	}
	e.send(j, ids[choice.Index])
	return true
}
