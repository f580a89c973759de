package route

import "math/rand/v2"

// LeastLoadedOf returns the index of the best of a few random instances that aren't a last resort, by
// the score of LeastLoaded, or that of LeastLoaded if all are. It serves where many entries pick by the
// same loads at the same time.
func LeastLoadedOf(views []InstanceView, choices int, domain string, random *rand.Rand) int {
	var usable []int
	for i := range views {
		if !views[i].LastResort {
			usable = append(usable, i)
		}
	}
	if len(usable) == 0 {
		return LeastLoaded(views, domain, random)
	}
	random.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	best := usable[0]
	for _, i := range usable[1:min(choices, len(usable))] {
		if views[i].score(domain) < views[best].score(domain) {
			best = i
		}
	}
	return best
}
