package chaos

import (
	"sort"
	"time"

	"github.com/samber/lo"

	"geraniumpass/deploy"
	"geraniumpass/stand"
)

// breakSomething does one random harm, lets it last, and undoes it.
func (r *run) breakSomething() {
	harms := []func(lasts time.Duration){
		r.killEntry, r.killAgent, r.freezeAgent, r.freezeEntry, r.cutAgent, r.holdAgent, r.outage, r.loseAnswers, r.endLeases, r.stopAgent, r.cutDomain, r.twoAtOnce,
	}
	lasts := time.Duration((0.5 + r.random.Float64()) * float64(r.opt.Pause))
	harms[r.random.IntN(len(harms))](lasts)
	time.Sleep(lasts)
}

func (r *run) anAgent() *deploy.Process {
	ids := sorted(lo.Keys(r.d.Agents))
	return r.d.Agents[ids[r.random.IntN(len(ids))]]
}

func (r *run) anEntry() *deploy.Process {
	return r.d.Entries[r.random.IntN(len(r.d.Entries))]
}

func (r *run) restart(p *deploy.Process) {
	if p.Running() {
		return
	}
	if err := p.Restart(); err != nil {
		r.finding("%s did not start again: %v", p.ID, err)
	}
}

func (r *run) killEntry(lasts time.Duration) {
	r.kill(r.anEntry(), lasts)
}

func (r *run) killAgent(lasts time.Duration) {
	r.kill(r.anAgent(), lasts)
}

func (r *run) kill(p *deploy.Process, lasts time.Duration) {
	r.note("kill %s for %s", p.ID, lasts)
	p.Kill()
	time.Sleep(lasts)
	r.restart(p)
}

func (r *run) stopAgent(lasts time.Duration) {
	p := r.anAgent()
	r.note("stop %s", p.ID)
	if !p.StopWithin(20 * time.Second) {
		r.finding("%s did not stop in time", p.ID)
	}
	time.Sleep(lasts / 4)
	r.restart(p)
}

func (r *run) freezeAgent(lasts time.Duration) {
	r.freeze(r.anAgent(), 2*lasts)
}

func (r *run) freezeEntry(lasts time.Duration) {
	r.freeze(r.anEntry(), 2*lasts)
}

func (r *run) freeze(p *deploy.Process, lasts time.Duration) {
	r.note("freeze %s for %s", p.ID, lasts)
	p.Suspend()
	time.Sleep(lasts)
	p.Resume()
}

func (r *run) aRelay() (*stand.Relay, string) {
	domain := r.d.Plan.Domains[r.random.IntN(len(r.d.Plan.Domains))]
	id := sorted(lo.Keys(r.d.AgentRelays[domain]))[r.random.IntN(len(r.d.AgentRelays[domain]))]
	return r.d.AgentRelays[domain][id], domain + " to " + id
}

func (r *run) cutAgent(lasts time.Duration) {
	relay, name := r.aRelay()
	r.note("cut %s for %s", name, lasts)
	relay.Set(stand.Break{Cut: true})
	time.Sleep(lasts)
	relay.Set(stand.Break{})
}

func (r *run) holdAgent(lasts time.Duration) {
	relay, name := r.aRelay()
	back := r.random.IntN(2) == 0
	r.note("hold one direction (back: %t) of %s for %s", back, name, 2*lasts)
	relay.Set(stand.Break{
		HoldBack:    back,
		HoldForward: !back,
	})
	time.Sleep(2 * lasts)
	relay.Set(stand.Break{})
}

func (r *run) outage(lasts time.Duration) {
	r.note("key-value service down for %s", 2*lasts)
	r.d.KeyValue.SetFault(stand.Fault{Down: true})
	time.Sleep(2 * lasts)
	r.d.KeyValue.SetFault(stand.Fault{})
}

func (r *run) loseAnswers(lasts time.Duration) {
	r.note("key-value service loses answers for %s", lasts)
	r.d.KeyValue.SetFault(stand.Fault{LoseAnswers: true})
	time.Sleep(lasts)
	r.d.KeyValue.SetFault(stand.Fault{})
}

// longestPause is what a paused holder's leases may have lapsed by; those that nobody renews, of claims, last far longer.
const longestPause = time.Minute

func (r *run) endLeases(time.Duration) {
	r.note("every lease that is renewed lapses")
	r.d.KeyValue.EndLeases(longestPause)
}

// cutDomain parts a failure domain from the platform and from the agents of the others.
func (r *run) cutDomain(lasts time.Duration) {
	domain := r.d.Plan.Domains[r.random.IntN(len(r.d.Plan.Domains))]
	r.note("cut %s off for %s", domain, 2*lasts)
	set := func(b stand.Break) {
		r.d.StoreRelays[domain].Set(b)
		for id, relay := range r.d.AgentRelays[domain] {
			if r.d.Agents[id].Domain != domain {
				relay.Set(b)
			}
		}
	}
	set(stand.Break{Cut: true})
	time.Sleep(2 * lasts)
	set(stand.Break{})
}

// twoAtOnce kills an agent and an entry during an outage of the platform.
func (r *run) twoAtOnce(lasts time.Duration) {
	a, e := r.anAgent(), r.anEntry()
	r.note("kill %s and %s in an outage for %s", a.ID, e.ID, lasts)
	r.d.KeyValue.SetFault(stand.Fault{Down: true})
	a.Kill()
	e.Kill()
	time.Sleep(lasts / 2)
	r.restart(a)
	r.restart(e)
	time.Sleep(lasts)
	r.d.KeyValue.SetFault(stand.Fault{})
}

// heal waits until everything can be used again.
func (r *run) heal() {
	for i, p := range r.d.Entries {
		if err := r.d.WaitEntry(p, "/readyz"); err != nil {
			r.finding("%v", err)
		}
		if err := r.d.WaitUsable(i, len(r.d.Agents)); err != nil {
			r.finding("%v", err)
		}
	}
}

// sorted puts the keys of a map in an order, which is no part of the seed otherwise.
func sorted(ids []string) []string {
	sort.Strings(ids)
	return ids
}
