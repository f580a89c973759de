package crash

const (
	// mostSuspects bounds the requests that are kept, accountSuspects those of one client account.
	mostSuspects    = 512
	accountSuspects = 64
)

// admit makes room for a request and returns it.
func (g *Registry) admit(e End) *suspect {
	ofAccount := 0
	for _, s := range g.suspects {
		if s.account == e.Account {
			ofAccount++
		}
	}
	switch {
	case ofAccount >= accountSuspects:
		g.forgetOne(e.Account)
	case len(g.suspects) >= mostSuspects:
		g.forgetOne(g.largest())
	}
	s := &suspect{
		digest:  e.Digest,
		account: e.Account,
		ends:    make(map[Place]*record),
	}
	g.suspects[e.Digest] = s
	return s
}

// forgetOne drops an account's request that was confirmed least lately, one that isn't refused if there is any.
func (g *Registry) forgetOne(account string) {
	var worst *suspect
	worstRefused := false
	for _, s := range g.suspects {
		if s.account != account {
			continue
		}
		refused := len(s.counted()) >= int(enough)
		if worst == nil || worstRefused && !refused || worstRefused == refused && s.seen().Before(worst.seen()) {
			worst, worstRefused = s, refused
		}
	}
	if worst != nil {
		counts.Add("forgotten", 1)
		for _, r := range worst.ends {
			g.uncount(r)
		}
		delete(g.suspects, worst.digest)
	}
}

// largest returns the account with the most requests.
func (g *Registry) largest() string {
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
