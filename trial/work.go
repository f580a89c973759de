package trial

import "time"

// Class is a class of work in a trial.
type Class struct {
	Name string
	// Cost is the tokens of a request, and Within the time that the target allows until the first one.
	Cost   float64
	Within time.Duration
}

// Source is one account's work in one class; Rate gives its requests a second at a moment.
type Source struct {
	Account string
	Class   int
	Rate    func(at time.Duration) float64
}

// job is one request of a trial.
type job struct {
	id      uint64
	class   int
	account string
	cost    float64
	came    time.Duration
	tries   int
	hops    int
	entry   int
}

// Scenario is the work and the faults of a trial.
type Scenario struct {
	Name    string
	Classes []Class
	Sources []Source
	Lasts   time.Duration
	// SurgeEnds is when the surge, or the fault, is over; zero when there is none.
	SurgeEnds time.Duration
	// Speed returns how fast an upstream is at a moment, 1 by default and 0 when it is lost.
	Speed func(upstream int, at time.Duration) float64
}
