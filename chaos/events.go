package chaos

import (
	"sort"
	"time"

	"github.com/samber/lo"

	"geraniumpass/deploy"
	"geraniumpass/stand"
)

// injectFault injects a random fault for a random time and reverts it, then waits as long.
func (r *run) injectFault() {
	faults := []func(duration time.Duration){
		r.killEntry, r.killAgent, r.freezeAgent, r.freezeEntry, r.cutLink, r.stallLinkDirection, r.storeOutage, r.loseStoreReplies, r.expireLeases, r.stopAgent, r.cutDomain, r.killDuringOutage,
	}
	duration := time.Duration((0.5 + r.random.Float64()) * float64(r.opts.Pause))
	faults[r.random.IntN(len(faults))](duration)
	time.Sleep(duration)
}

func (r *run) randomAgent() *deploy.Process {
	ids := sorted(lo.Keys(r.d.Agents))
	return r.d.Agents[ids[r.random.IntN(len(ids))]]
}

func (r *run) randomEntry() *deploy.Process {
	return r.d.Entries[r.random.IntN(len(r.d.Entries))]
}

func (r *run) restart(p *deploy.Process) {
	if p.Running() {
		return
	}
	if err := p.Restart(); err != nil {
		r.addFinding("%s failed to restart: %v", p.ID, err)
	}
}

func (r *run) killEntry(duration time.Duration) {
	r.kill(r.randomEntry(), duration)
}

func (r *run) killAgent(duration time.Duration) {
	r.kill(r.randomAgent(), duration)
}

func (r *run) kill(p *deploy.Process, duration time.Duration) {
	r.logEvent("kill %s for %s", p.ID, duration)
	p.Kill()
	time.Sleep(duration)
	r.restart(p)
}

func (r *run) stopAgent(duration time.Duration) {
	p := r.randomAgent()
	r.logEvent("stop %s", p.ID)
	if !p.StopWithin(20 * time.Second) {
		r.addFinding("%s did not stop within its timeout", p.ID)
	}
	time.Sleep(duration / 4)
	r.restart(p)
}

func (r *run) freezeAgent(duration time.Duration) {
	r.freeze(r.randomAgent(), 2*duration)
}

func (r *run) freezeEntry(duration time.Duration) {
	r.freeze(r.randomEntry(), 2*duration)
}

func (r *run) freeze(p *deploy.Process, duration time.Duration) {
	r.logEvent("freeze %s for %s", p.ID, duration)
	p.Suspend()
	time.Sleep(duration)
	p.Resume()
}

func (r *run) randomRelay() (*stand.Relay, string) {
	domain := r.d.Plan.Domains[r.random.IntN(len(r.d.Plan.Domains))]
	id := sorted(lo.Keys(r.d.AgentRelays[domain]))[r.random.IntN(len(r.d.AgentRelays[domain]))]
	return r.d.AgentRelays[domain][id], domain + " to " + id
}

func (r *run) cutLink(duration time.Duration) {
	relay, name := r.randomRelay()
	r.logEvent("cut %s for %s", name, duration)
	relay.Set(stand.RelayFault{Cut: true})
	time.Sleep(duration)
	relay.Set(stand.RelayFault{})
}

func (r *run) stallLinkDirection(duration time.Duration) {
	relay, name := r.randomRelay()
	back := r.random.IntN(2) == 0
	r.logEvent("stall one direction (reverse: %t) of %s for %s", back, name, 2*duration)
	relay.Set(stand.RelayFault{
		HoldBack:    back,
		HoldForward: !back,
	})
	time.Sleep(2 * duration)
	relay.Set(stand.RelayFault{})
}

func (r *run) storeOutage(duration time.Duration) {
	r.logEvent("key-value service down for %s", 2*duration)
	r.d.KeyValue.SetFault(stand.Fault{Down: true})
	time.Sleep(2 * duration)
	r.d.KeyValue.SetFault(stand.Fault{})
}

func (r *run) loseStoreReplies(duration time.Duration) {
	r.logEvent("key-value service loses responses for %s", duration)
	r.d.KeyValue.SetFault(stand.Fault{LoseAnswers: true})
	time.Sleep(duration)
	r.d.KeyValue.SetFault(stand.Fault{})
}

// maxHolderPause is the simulated pause of lease holders: all renewed leases expire. The leases of
// claims, which are not renewed, last far longer.
const maxHolderPause = time.Minute

func (r *run) expireLeases(time.Duration) {
	r.logEvent("expire every renewed lease")
	r.d.KeyValue.ExpireLeases(maxHolderPause)
}

// cutDomain isolates a failure domain from the platform and from the agents of other domains.
func (r *run) cutDomain(duration time.Duration) {
	domain := r.d.Plan.Domains[r.random.IntN(len(r.d.Plan.Domains))]
	r.logEvent("isolate %s for %s", domain, 2*duration)
	set := func(b stand.RelayFault) {
		r.d.StoreRelays[domain].Set(b)
		for id, relay := range r.d.AgentRelays[domain] {
			if r.d.Agents[id].Domain != domain {
				relay.Set(b)
			}
		}
	}
	set(stand.RelayFault{Cut: true})
	time.Sleep(2 * duration)
	set(stand.RelayFault{})
}

// killDuringOutage kills an agent and an entry during an outage of the key-value service.
func (r *run) killDuringOutage(duration time.Duration) {
	a, e := r.randomAgent(), r.randomEntry()
	r.logEvent("kill %s and %s during a key-value service outage of more than %s", a.ID, e.ID, duration)
	r.d.KeyValue.SetFault(stand.Fault{Down: true})
	a.Kill()
	e.Kill()
	time.Sleep(duration / 2)
	r.restart(a)
	r.restart(e)
	time.Sleep(duration)
	r.d.KeyValue.SetFault(stand.Fault{})
}

// waitHealthy waits until all entries are ready and every agent is usable from each of them.
func (r *run) waitHealthy() {
	for i, p := range r.d.Entries {
		if err := r.d.WaitEntry(p, "/readyz"); err != nil {
			r.addFinding("%v", err)
		}
		if err := r.d.WaitUsable(i, len(r.d.Agents)); err != nil {
			r.addFinding("%v", err)
		}
	}
}

// sorted sorts map keys in place, so that random choices depend only on the seed.
func sorted(ids []string) []string {
	sort.Strings(ids)
	return ids
}
