package crash

const (
	// maxSuspects bounds the number of tracked requests, maxSuspectsPerAccount those of one client
	// account.
	maxSuspects           = 512
	maxSuspectsPerAccount = 64
	// maxSegments bounds the tracked segments, of which any account may send any.
	maxSegments = 256
	// maxPublished bounds the terminations that a process publishes, which the store keeps in one value.
	maxPublished = 4096
)

// addSuspect starts tracking a request and evicts another one if a limit is reached.
func (g *Registry) addSuspect(e Termination) *suspect {
	requests, ofAccount := 0, 0
	for _, s := range g.suspects {
		if s.segment {
			continue
		}
		requests++
		if s.account == e.Account {
			ofAccount++
		}
	}
	switch {
	case e.Segment:
		if len(g.suspects)-requests >= maxSegments {
			g.evictSegment()
		}
	case ofAccount >= maxSuspectsPerAccount:
		g.evictSuspect(e.Account)
	case requests >= maxSuspects:
		g.evictSuspect(g.largestAccount())
	}
	s := &suspect{
		digest:       e.Digest,
		account:      e.Account,
		segment:      e.Segment,
		terminations: make(map[TerminationKey]*record),
	}
	g.suspects[e.Digest] = s
	return s
}

// evictSuspect drops the least recently confirmed request of an account, preferring requests with too
// few uncleared terminations to be refused.
func (g *Registry) evictSuspect(account string) {
	var victim *suspect
	victimRefused := false
	for _, s := range g.suspects {
		if s.segment || s.account != account {
			continue
		}
		refused := s.countUncleared() >= int(refusalThreshold)
		if victim == nil || victimRefused && !refused || victimRefused == refused && s.lastConfirmed().Before(victim.lastConfirmed()) {
			victim, victimRefused = s, refused
		}
	}
	if victim != nil {
		g.forget(victim)
	}
}

// evictSegment drops a segment with the fewest uncleared terminations, of these the least recently
// confirmed one, so that segments that callers invent displace none that coincides with several.
func (g *Registry) evictSegment() {
	var victim *suspect
	fewest := 0
	for _, s := range g.suspects {
		if !s.segment {
			continue
		}
		n := s.countUncleared()
		if victim == nil || n < fewest || n == fewest && s.lastConfirmed().Before(victim.lastConfirmed()) {
			victim, fewest = s, n
		}
	}
	if victim != nil {
		g.forget(victim)
	}
}

func (g *Registry) forget(s *suspect) {
	counts.Add("forgotten", 1)
	for _, r := range s.terminations {
		g.uncountTermination(r)
	}
	delete(g.suspects, s.digest)
}

// largestAccount returns the account with the most tracked requests.
func (g *Registry) largestAccount() string {
	tracked := make(map[string]int)
	best := ""
	for _, s := range g.suspects {
		if s.segment {
			continue
		}
		tracked[s.account]++
		if tracked[s.account] > tracked[best] {
			best = s.account
		}
	}
	return best
}

// makeRoom drops a termination if the suspect has as many as are kept, and reports whether another one
// can be added. Of a segment the latest ones are kept, which are compared with the other terminations
// of the same time.
func (g *Registry) makeRoom(s *suspect) bool {
	if !s.segment {
		return len(s.terminations) < maxTerminations || s.evictCleared()
	}
	if len(s.terminations) < maxSegmentTerminations || s.evictCleared() {
		return true
	}
	var oldest *record
	for _, r := range s.terminations {
		if oldest == nil || r.observed.Before(oldest.observed) {
			oldest = r
		}
	}
	g.uncountTermination(oldest)
	delete(s.terminations, oldest.Key())
	return true
}
