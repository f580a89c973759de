package main

import (
	"fmt"
	"os"
	"time"

	"github.com/google/uuid"

	"geraniumpass/config"
	"geraniumpass/core"
	"geraniumpass/deploy"
	"geraniumpass/entry"
	"geraniumpass/oper"
	"geraniumpass/platform/emul"
	"geraniumpass/setup"
	"geraniumpass/stand"
)

const (
	readyTimeout = 20 * time.Second
	accountKey   = "key-engineering"
	maxLinks     = 4096
)

// site is a set of entry processes in front of a fleet of agents, with stand-ins for the platform.
type site struct {
	kv      *emul.Store
	list    *stand.List
	fleet   *fleet
	entries []*deploy.Process
	listen  string
}

func newSite(binary, dir string, entries int, f *fleet, doc oper.File) (*site, error) {
	s := &site{
		kv:    emul.NewStore("127.0.0.1:0"),
		fleet: f,
	}
	if err := s.kv.Server.Start(); err != nil {
		return nil, err
	}
	s.list = stand.NewList("127.0.0.1:0", f.instances)
	if err := s.list.Server.Start(); err != nil {
		return nil, err
	}
	for i := range entries {
		if err := s.addEntry(binary, dir, i); err != nil {
			return nil, err
		}
	}
	return s, s.configure(doc)
}

func (s *site) addEntry(binary, dir string, i int) error {
	control, err := deploy.FreeAddress()
	if err != nil {
		return err
	}
	listen, err := deploy.FreeAddress()
	if err != nil {
		return err
	}
	cfg := setup.Entry{
		Role:    "entry",
		ID:      fmt.Sprintf("entry-%02d", i),
		Domain:  domain,
		Region:  region,
		Listen:  listen,
		Control: control,
		Platform: setup.Platform{
			KeyValue:     s.kv.Server.Address(),
			InstanceList: s.list.Server.Address(),
		},
		LinkKey:     linkKey,
		OperatorKey: operatorKey,
		MaxLinks:    maxLinks,
		Log:         setup.Log{Level: "warn"},
	}
	p, err := deploy.Launch(binary, dir, cfg.ID+"-"+uuid.NewString()[:8], "entry", control, cfg)
	if err != nil {
		return err
	}
	s.entries = append(s.entries, p)
	s.listen = listen
	s.list.Add(core.Instance{
		ID:      cfg.ID,
		Service: "geraniumpass",
		Kind:    core.KindEntry,
		Domain:  domain,
		Address: control,
	})
	return nil
}

func (s *site) operator(i int) *oper.Client {
	return &oper.Client{
		Address: s.entries[i].Control,
		Key:     operatorKey,
	}
}

func (s *site) configure(f oper.File) error {
	f.Accounts = append(f.Accounts, config.Account{
		Name:      "engineering",
		KeySHA256: []string{oper.HashKey(accountKey)},
	})
	f.Classes = append(f.Classes, config.Class{
		Name: "summary",
		Target: config.Target{
			Measure: config.MeasureFirstToken,
			Within:  setup.Duration{Duration: time.Minute},
			Percent: 95,
		},
	})
	err := deploy.Until("the entry to accept a configuration", readyTimeout, func() bool {
		_, err := s.operator(0).Change(entry.ChangeRequest{
			ID:  "first",
			Who: "capacity",
			Ops: oper.Ops(&config.Document{}, f),
		})
		return err == nil
	})
	if err != nil {
		return err
	}
	return deploy.Until("the entries to connect to every agent", readyTimeout, func() bool {
		for i := range s.entries {
			st, err := s.operator(i).Status()
			if err != nil {
				return false
			}
			for _, u := range st.Upstreams {
				if !u.Usable {
					return false
				}
			}
			if len(st.Upstreams) < len(s.fleet.instances) {
				return false
			}
		}
		return true
	})
}

// changeTarget makes one configuration change.
func (s *site) changeTarget(n int) error {
	c := s.operator(0)
	doc, err := c.Config()
	if err != nil {
		return err
	}
	target := doc.Classes[0].Target
	target.Within.Duration = time.Minute + time.Duration(n)*time.Millisecond
	_, err = c.Change(entry.ChangeRequest{
		ID:   uuid.NewString(),
		Base: doc.Revision,
		Who:  "capacity",
		Ops: []config.Op{{
			Kind:   config.OpSetTarget,
			Name:   doc.Classes[0].Name,
			Target: &target,
		}},
	})
	return err
}

func (s *site) close() {
	for _, p := range s.entries {
		p.Kill()
	}
	s.fleet.close()
	s.list.Server.Stop()
	s.kv.Close()
}

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
