package trial

import "time"

// calmRate is what the users' deployment of this size asks for in calm, in streams a second; the group can do some 96.
const calmRate = 75.0

func steady(time.Duration) float64 {
	return calmRate
}

// Patterns are the loads and faults for which a group's entries have a line: a surge, outages of the whole group, and a group that stands.
func Patterns() []*GroupScenario {
	return []*GroupScenario{
		{
			Name:  "three times the traffic for twelve seconds",
			Lasts: 34 * time.Second,
			Rate: func(at time.Duration) float64 {
				if at >= 10*time.Second && at < 22*time.Second {
					return 3 * calmRate
				}
				return calmRate
			},
		},
		{
			Name:  "dark for six seconds and again for two",
			Lasts: 34 * time.Second,
			Rate:  steady,
			Dark:  []Span{{From: 8 * time.Second, To: 14 * time.Second}, {From: 22 * time.Second, To: 24 * time.Second}},
		},
		{
			Name:  "standing for four seconds",
			Lasts: 34 * time.Second,
			Rate:  steady,
			Still: []Span{{From: 10 * time.Second, To: 14 * time.Second}},
		},
	}
}
