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

// evictSuspect drops the least recently confirmed request of an account, preferring requests that
// aren't refused.
func (g *Registry) evictSuspect(account string) {
	var worst *suspect
	worstRefused := false
	for _, s := range g.suspects {
		if s.account != account {
			continue
		}
		refused := len(s.uncleared()) >= int(refusalThreshold)
		if worst == nil || worstRefused && !refused || worstRefused == refused && s.lastConfirmed().Before(worst.lastConfirmed()) {
			worst, worstRefused = s, refused
		}
	}
	if worst != nil {
		counts.Add("forgotten", 1)
		for _, r := range worst.terminations {
			g.uncountTermination(r)
		}
		delete(g.suspects, worst.digest)
	}
}

// largestAccount returns the account with the most tracked requests.
func (g *Registry) largestAccount() string {
	by := make(map[string]int)
	best := ""
	for _, s := range g.suspects {
		by[s.account]++
		if by[s.account] > by[best] {
			best = s.account
		}
	}
	return best
}
