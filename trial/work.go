package trial

import "time"

// Class is a class of work in a trial.
type Class struct {
	Name string
	// Cost is the number of tokens of a request; LatencyTarget is the time allowed until the first
	// one.
	Cost          float64
	LatencyTarget time.Duration
}

// Source is the work of one account in one class; Rate returns its requests per second.
type Source struct {
	Account string
	Class   int
	Rate    func(at time.Duration) float64
}

// job is one request of a trial.
type job struct {
	id       uint64
	class    int
	account  string
	cost     float64
	arrived  time.Duration
	attempts int
	hops     int
	entry    int
}

// Scenario is the workload and the faults of a trial.
type Scenario struct {
	Name     string
	Classes  []Class
	Sources  []Source
	Duration time.Duration
	// SurgeEnd is the end of the surge or the fault; zero if there is none.
	SurgeEnd time.Duration
	// Speed returns the relative speed of an upstream: 1 if normal, 0 if it is down. Nil means
	// always 1.
	Speed func(upstream int, at time.Duration) float64
}
