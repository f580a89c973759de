package crash

const (
	// maxSuspects bounds the number of tracked requests, maxSuspectsPerAccount those of one client
	// account.
	maxSuspects           = 512
	maxSuspectsPerAccount = 64
)

// addSuspect starts tracking a request and evicts another one if a limit is reached.
func (g *Registry) addSuspect(e Termination) *suspect {
	ofAccount := 0
	for _, s := range g.suspects {
		if s.account == e.Account {
			ofAccount++
		}
	}
	switch {
	case ofAccount >= maxSuspectsPerAccount:
		g.evictSuspect(e.Account)
	case len(g.suspects) >= maxSuspects:
		g.evictSuspect(g.largestAccount())
	}
	s := &suspect{
		digest:       e.Digest,
		account:      e.Account,
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
		if s.account != account {
			continue
		}
		refused := len(s.uncleared()) >= int(refusalThreshold)
		if victim == nil || victimRefused && !refused || victimRefused == refused && s.lastConfirmed().Before(victim.lastConfirmed()) {
			victim, victimRefused = s, refused
		}
	}
	if victim != nil {
		counts.Add("forgotten", 1)
		for _, r := range victim.terminations {
			g.uncountTermination(r)
		}
		delete(g.suspects, victim.digest)
	}
}

// largestAccount returns the account with the most tracked requests.
func (g *Registry) largestAccount() string {
	tracked := make(map[string]int)
	best := ""
	for _, s := range g.suspects {
		tracked[s.account]++
		if tracked[s.account] > tracked[best] {
			best = s.account
		}
	}
	return best
}
