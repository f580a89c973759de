package deploy

import (
	"fmt"

	"geraniumpass/core"
	"geraniumpass/setup"
	"geraniumpass/stand"
)

// startUpstreams starts every upstream with its agent and returns their rows for the instance list.
func (d *Deployment) startUpstreams() ([]core.Instance, error) {
	var rows []core.Instance
	for _, s := range d.Plan.Services {
		group, err := d.startGroup(s)
		if err != nil {
			return nil, err
		}
		for i := range s.Servers {
			id := fmt.Sprintf("%s-%02d", s.Name, i)
			domain := d.Plan.Domains[i%len(d.Plan.Domains)]
			address, err := d.startUpstream(s, id, group, i)
			if err != nil {
				return nil, err
			}
			p, err := d.startAgent(s, id, domain, address, i)
			if err != nil {
				return nil, err
			}
			rows = append(rows, core.Instance{
				ID:      id,
				Service: s.Name,
				Kind:    s.Kind,
				Domain:  domain,
				Address: p.Control,
			})
		}
	}
	return rows, nil
}

func (d *Deployment) startUpstream(s Service, id string, group *stand.Group, rank int) (string, error) {
	if s.Kind == core.KindPlain {
		p := stand.NewPlain("127.0.0.1:0", d.Runs)
		d.Plains[id] = p
		err := p.Server.Start()
		return p.Server.Address(), err
	}
	e := stand.NewEngine("127.0.0.1:0", s.Name, s.StepTime.Duration, d.Runs)
	d.Engines[id] = e
	if group != nil {
		e.SetRank(group.Ranks()[rank])
	}
	err := e.Server.Start()
	return e.Server.Address(), err
}

func (d *Deployment) startAgent(s Service, id, domain, upstream string, rank int) (*Process, error) {
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	cfg := setup.Agent{
		Role:    "agent",
		ID:      id,
		Domain:  domain,
		Region:  d.Plan.Region,
		Listen:  address,
		LinkKey: linkKey,
		Upstream: setup.Upstream{
			Service:     s.Name,
			Kind:        string(s.Kind),
			Address:     upstream,
			Group:       s.Group,
			Rank:        rank,
			Ranks:       s.Servers,
			ChecksFence: s.ChecksFence,
		},
		Log: setup.Log{Level: d.Plan.LogLevel},
	}
	p := &Process{
		ID:      id,
		Role:    "agent",
		Domain:  domain,
		Control: address,
	}
	d.Agents[id] = p
	return p, d.launch(p, cfg)
}
