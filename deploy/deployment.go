package deploy

import (
	"time"

	"geraniumpass/oper"
	"geraniumpass/platform/emul"
	"geraniumpass/stand"
)

const (
	linkKey              = "link-key-of-the-example"
	operatorKey          = "operator-key-of-the-example"
	readyTimeout         = 20 * time.Second
	pollInterval         = 20 * time.Millisecond
	stopTimeout          = 20 * time.Second
	expertLoadsPerSecond = 400
)

// Deployment is a running deployment with access to every component into which a test may inject
// faults.
type Deployment struct {
	Plan         *Plan
	Dir          string
	KeyValue     *emul.Store
	InstanceList *stand.List
	Runs         *stand.Counter
	Engines      map[string]*stand.Engine
	Plains       map[string]*stand.Plain
	Groups       map[string]*stand.Group
	Entries      []*Process
	Agents       map[string]*Process
	// StoreRelays holds the relay from each failure domain to the key-value service, and
	// AgentRelays the relays from each domain to each agent.
	StoreRelays map[string]*stand.Relay
	AgentRelays map[string]map[string]*stand.Relay
	// domainLists holds each domain's instance list, which contains the addresses of that domain's
	// relays.
	domainLists map[string]*stand.List
	binary      string
}

// Start starts a deployment and returns once every entry is ready.
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
		domainLists: make(map[string]*stand.List),
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
	d.InstanceList = stand.NewList("127.0.0.1:0", append(rows, entryRows...))
	if err := d.InstanceList.Server.Start(); err != nil {
		return err
	}
	for _, domain := range d.Plan.Domains {
		if err := d.startRelays(domain, rows, entryRows, opt.Relays); err != nil {
			return err
		}
	}
	for _, p := range d.Entries {
		if err := d.startEntry(p, rows); err != nil {
			return err
		}
	}
	if opt.NoConfiguration {
		return d.waitAllEntries("/livez")
	}
	if err := d.waitAllEntries("/livez"); err != nil {
		return err
	}
	if err := d.Configure(); err != nil {
		return err
	}
	if err := d.waitAllEntries("/readyz"); err != nil {
		return err
	}
	return d.waitLinks()
}

// Operator returns an operator client for one entry.
func (d *Deployment) Operator(entry int) *oper.Client {
	return &oper.Client{
		Address: d.Entries[entry].Control,
		Key:     operatorKey,
	}
}

// SetLeaving sets whether an instance is marked as leaving in every instance list.
func (d *Deployment) SetLeaving(id string, leaving bool) {
	d.InstanceList.SetLeaving(id, leaving)
	for _, l := range d.domainLists {
		l.SetLeaving(id, leaving)
	}
}

// SetListFault sets the fault of every instance list.
func (d *Deployment) SetListFault(f stand.Fault) {
	d.InstanceList.SetFault(f)
	for _, l := range d.domainLists {
		l.SetFault(f)
	}
}
