package trial

import "time"

// normalRate is the normal load of the users' deployment of this size, in streams per second. The
// group can serve about 96.
const normalRate = 75.0

func normalLoad(time.Duration) float64 {
	return normalRate
}

// GroupScenarios returns the cases that admission control is meant for: a traffic surge, outages of
// the whole group and a stalled group.
func GroupScenarios() []*GroupScenario {
	return []*GroupScenario{
		{
			Name:     "three times the traffic for twelve seconds",
			Duration: 34 * time.Second,
			Rate: func(at time.Duration) float64 {
				if at >= 10*time.Second && at < 22*time.Second {
					return 3 * normalRate
				}
				return normalRate
			},
		},
		{
			Name:     "dark for six seconds and again for two",
			Duration: 34 * time.Second,
			Rate:     normalLoad,
			Outages:  []Span{{From: 8 * time.Second, To: 14 * time.Second}, {From: 22 * time.Second, To: 24 * time.Second}},
		},
		{
			Name:     "standing for four seconds",
			Duration: 34 * time.Second,
			Rate:     normalLoad,
			Stalls:   []Span{{From: 10 * time.Second, To: 14 * time.Second}},
		},
	}
}
