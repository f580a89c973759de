package deploy

import "os"

// Close kills every process and ends every stand-in.
func (d *Deployment) Close() {
	for _, p := range d.processes() {
		if p.cmd != nil && p.Running() {
			p.Thaw()
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
	for _, l := range d.listServers {
		l.Server.Stop()
	}
	if d.List != nil {
		d.List.Server.Stop()
	}
	if d.KeyValue != nil {
		d.KeyValue.Close()
	}
}

// Stop ends every process gracefully and returns the identities of those that had to be killed or ended badly.
func (d *Deployment) Stop() []string {
	var bad []string
	for _, p := range d.Entries {
		_ = p.cmd.Process.Signal(os.Interrupt)
	}
	for _, p := range d.processes() {
		if !p.Running() {
			continue
		}
		if !p.StopWithin(stopTime) || p.Err() != nil {
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
