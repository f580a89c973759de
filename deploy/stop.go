package deploy

import "os"

// Close kills every process and closes every stand-in.
func (d *Deployment) Close() {
	for _, p := range d.processes() {
		if p.cmd != nil && p.Running() {
			p.Resume()
			p.Kill()
		}
	}
	for _, e := range d.Engines {
		e.Close()
	}
	for _, p := range d.Plains {
		p.Server.Stop()
	}
	for _, g := range d.Groups {
		g.Close()
	}
	for _, r := range d.StoreRelays {
		r.Close()
	}
	for _, rs := range d.AgentRelays {
		for _, r := range rs {
			r.Close()
		}
	}
	for _, l := range d.domainLists {
		l.Server.Stop()
	}
	if d.InstanceList != nil {
		d.InstanceList.Server.Stop()
	}
	if d.KeyValue != nil {
		d.KeyValue.Close()
	}
}

// Stop terminates every process and returns the IDs of those that had to be killed or exited with
// an error.
func (d *Deployment) Stop() []string {
	var bad []string
	for _, p := range d.Entries {
		_ = p.cmd.Process.Signal(os.Interrupt)
	}
	for _, p := range d.processes() {
		if !p.Running() {
			continue
		}
		if !p.StopWithin(stopTimeout) || p.Err() != nil {
			bad = append(bad, p.ID)
		}
	}
	return bad
}

func (d *Deployment) processes() []*Process {
	out := append([]*Process{}, d.Entries...)
	for _, p := range d.Agents {
		out = append(out, p)
	}
	return out
}
