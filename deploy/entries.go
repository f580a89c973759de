package deploy

import (
	"fmt"

	"geraniumpass/core"
	"geraniumpass/setup"
	"geraniumpass/stand"
)

func (d *Deployment) planEntries() ([]core.Instance, error) {
	rows := make([]core.Instance, 0, d.Plan.Entries)
	for i := range d.Plan.Entries {
		control, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		listen, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		p := &Process{
			ID:      fmt.Sprintf("entry-%02d", i),
			Role:    "entry",
			Domain:  d.Plan.Domains[i%len(d.Plan.Domains)],
			Control: control,
			Listen:  listen,
		}
		d.Entries = append(d.Entries, p)
		rows = append(rows, core.Instance{
			ID:      p.ID,
			Service: "geraniumpass",
			Kind:    core.KindEntry,
			Domain:  p.Domain,
			Address: control,
		})
	}
	return rows, nil
}

func (d *Deployment) startEntry(p *Process, rows []core.Instance) error {
	cfg := setup.Entry{
		Role:    "entry",
		ID:      p.ID,
		Domain:  p.Domain,
		Region:  d.Plan.Region,
		Listen:  p.Listen,
		Control: p.Control,
		Platform: setup.Platform{
			KeyValue:     d.KeyValue.Server.Address(),
			InstanceList: d.InstanceList.Server.Address(),
		},
		LinkKey:     linkKey,
		OperatorKey: operatorKey,
		MaxLinks:    d.Plan.MaxLinks,
		Log:         setup.Log{Level: d.Plan.LogLevel},
	}
	if r, ok := d.StoreRelays[p.Domain]; ok {
		cfg.Platform.KeyValue = r.Address()
		cfg.Platform.InstanceList = d.domainLists[p.Domain].Server.Address()
	}
	for _, in := range rows {
		if in.Domain == p.Domain {
			cfg.Seeds = append(cfg.Seeds, in.Address)
		}
	}
	return d.launch(p, cfg)
}

// startRelays gives a failure domain its own relays to the platform and to the agents, if relays is
// set.
func (d *Deployment) startRelays(domain string, rows, entryRows []core.Instance, relays bool) error {
	if !relays {
		return nil
	}
	kv, err := stand.NewRelay(d.KeyValue.Server.Address())
	if err != nil {
		return err
	}
	d.StoreRelays[domain] = kv
	d.AgentRelays[domain] = make(map[string]*stand.Relay)
	seen := make([]core.Instance, 0, len(rows)+len(entryRows))
	for _, in := range rows {
		r, err := stand.NewRelay(in.Address)
		if err != nil {
			return err
		}
		d.AgentRelays[domain][in.ID] = r
		in.Address = r.Address()
		seen = append(seen, in)
	}
	l := stand.NewList("127.0.0.1:0", append(seen, entryRows...))
	d.domainLists[domain] = l
	return l.Server.Start()
}
