package plan

import (
	"net"
	"sort"
	"strings"
)

// Table is one version of the routing configuration. Peers receive it as CBOR with the Go field
// names of this package's types as keys, so a renamed field would change the protocol.
type Table struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	Accounts []Account

	byHost    map[string][]*Route
	byKey     map[string]*Account
	byService map[string]*Service
}

// Compile builds the indexes and must be called once before any lookup.
func (t *Table) Compile() *Table {
	t.byHost = make(map[string][]*Route)
	t.byKey = make(map[string]*Account)
	t.byService = make(map[string]*Service)
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range t.Accounts {
		for _, k := range t.Accounts[i].Keys {
			t.byKey[k] = &t.Accounts[i]
		}
	}
	for i := range t.Services {
		t.byService[t.Services[i].Name] = &t.Services[i]
	}
	return t
}

// Match returns the route of host, which may include a port, with the longest prefix of path, or
// nil.
func (t *Table) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the account with the given key, or nil.
func (t *Table) Account(key string) *Account {
	return t.byKey[key]
}

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service {
	return t.byService[name]
}

// RequiresKey reports whether callers must authenticate with a key.
func (t *Table) RequiresKey() bool {
	return len(t.Accounts) > 0
}
