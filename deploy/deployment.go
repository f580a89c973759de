package deploy

import (
	"time"

	"geraniumpass/oper"
	"geraniumpass/platform/emul"
	"geraniumpass/stand"
)

const (
	linkKey     = "link-key-of-the-example"
	operatorKey = "operator-key-of-the-example"
	readyTime   = 20 * time.Second
	pollTime    = 20 * time.Millisecond
	stopTime    = 20 * time.Second
	engineRate  = 400
)

// Deployment is a running deployment with everything that a test may break.
type Deployment struct {
	Plan     *Plan
	Dir      string
	KeyValue *emul.Store
	List     *stand.List
	Runs     *stand.Counter
	Engines  map[string]*stand.Engine
	Plains   map[string]*stand.Plain
	Groups   map[string]*stand.Group
	Entries  []*Process
	Agents   map[string]*Process
	// StoreRelays leads from a failure domain to the key-value service, and AgentRelays from a domain to an agent.
	StoreRelays map[string]*stand.Relay
	AgentRelays map[string]map[string]*stand.Relay
	// ListServers shows each domain the addresses of its own relays.
	listServers map[string]*stand.List
	binary      string
}

// Start brings a deployment up and returns when every entry is ready.
func Start(plan *Plan, opt Options) (*Deployment, error) {
	d := &Deployment{
		Plan:        plan,
		Dir:         opt.Dir,
		Runs:        stand.NewCounter(),
		Engines:     make(map[string]*stand.Engine),
		Plains:      make(map[string]*stand.Plain),
		Groups:      make(map[string]*stand.Group),
		Agents:      make(map[string]*Process),
		StoreRelays: make(map[string]*stand.Relay),
		AgentRelays: make(map[string]map[string]*stand.Relay),
		listServers: make(map[string]*stand.List),
		binary:      opt.Binary,
	}
	if err := d.start(opt); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(opt Options) error {
	d.KeyValue = emul.NewStore("127.0.0.1:0")
	if err := d.KeyValue.Server.Start(); err != nil {
		return err
	}
	rows, err := d.startUpstreams()
	if err != nil {
		return err
	}
	entryRows, err := d.planEntries()
	if err != nil {
		return err
	}
	d.List = stand.NewList("127.0.0.1:0", append(rows, entryRows...))
	if err := d.List.Server.Start(); err != nil {
		return err
	}
	for _, domain := range d.Plan.Domains {
		if err := d.startDomain(domain, rows, entryRows, opt.Relays); err != nil {
			return err
		}
	}
	for _, p := range d.Entries {
		if err := d.startEntry(p, rows); err != nil {
			return err
		}
	}
	if opt.NoConfiguration {
		return d.waitEntries("/livez")
	}
	if err := d.waitEntries("/livez"); err != nil {
		return err
	}
	if err := d.Configure(); err != nil {
		return err
	}
	if err := d.waitEntries("/readyz"); err != nil {
		return err
	}
	return d.waitLinks()
}

// Operator returns the operator's client of one entry.
func (d *Deployment) Operator(entry int) *oper.Client {
	return &oper.Client{
		Address: d.Entries[entry].Control,
		Key:     operatorKey,
	}
}

// SetLeaving marks an instance on every view of the instance list.
func (d *Deployment) SetLeaving(id string, leaving bool) {
	d.List.SetLeaving(id, leaving)
	for _, l := range d.listServers {
		l.SetLeaving(id, leaving)
	}
}

// SetListFault changes how the instance list misbehaves for every domain.
func (d *Deployment) SetListFault(f stand.Fault) {
	d.List.SetFault(f)
	for _, l := range d.listServers {
		l.SetFault(f)
	}
}
