package deploy

import (
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"geraniumpass/config"
	"geraniumpass/entry"
	"geraniumpass/oper"
	"geraniumpass/place"
	"geraniumpass/stand"
)

// TimeoutError reports that Condition was not met in time.
type TimeoutError struct {
	Condition string
}

// Error states the condition.
func (e *TimeoutError) Error() string {
	return "timed out waiting for " + e.Condition
}

// Until polls condition until it is true and fails with a *TimeoutError that carries description
// after limit.
func Until(description string, limit time.Duration, condition func() bool) error {
	end := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(end) {
			return &TimeoutError{Condition: description}
		}
		time.Sleep(pollInterval)
	}
	return nil
}

func (d *Deployment) waitAllEntries(path string) error {
	for _, p := range d.Entries {
		if err := d.WaitEntry(p, path); err != nil {
			return err
		}
	}
	return nil
}

// WaitEntry waits until an entry answers 200 on a path of its control address.
func (d *Deployment) WaitEntry(p *Process, path string) error {
	return Until(p.ID+" "+path, readyTimeout, func() bool {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+p.Control+path, time.Second)
		return err == nil && status == fasthttp.StatusOK
	})
}

// waitLinks waits until every entry can use every upstream, or half of its link limit if that is
// fewer.
func (d *Deployment) waitLinks() error {
	for i := range d.Entries {
		n := len(d.Agents)
		if d.Plan.MaxLinks > 0 {
			n = min(n, d.Plan.MaxLinks/2)
		}
		if err := d.WaitUsable(i, n); err != nil {
			return err
		}
	}
	return nil
}

// WaitUsable waits until entry i can use at least n upstreams.
func (d *Deployment) WaitUsable(i, n int) error {
	return Until(fmt.Sprintf("%s to use %d upstreams", d.Entries[i].ID, n), readyTimeout, func() bool {
		s, err := d.Operator(i).Status()
		if err != nil {
			return false
		}
		usable := 0
		for _, u := range s.Upstreams {
			if u.Usable {
				usable++
			}
		}
		return usable >= n
	})
}

// Configure applies the plan's configuration through the first entry.
func (d *Deployment) Configure() error {
	file := d.Plan.Configuration
	for name, key := range d.Plan.Keys {
		file.Accounts = append(file.Accounts, config.Account{
			Name:      name,
			KeySHA256: []string{oper.HashKey(key)},
		})
	}
	_, err := d.Operator(0).Change(entry.ChangeRequest{
		ID:  uuid.NewString(),
		Who: "plan",
		Ops: oper.Ops(&config.Document{}, file),
	})
	return err
}

// startGroup starts the rank group of a service, or returns nil if the service has none.
func (d *Deployment) startGroup(s Service) (*stand.Group, error) {
	if s.Group == "" {
		return nil, nil
	}
	first, err := place.Even(s.Experts, s.Servers, s.Slots).Encode()
	if err != nil {
		return nil, err
	}
	popularity := make([]float64, s.Experts)
	for i := range popularity {
		popularity[i] = 100
	}
	g := stand.NewGroup(s.Servers, first, popularity, s.StepTime.Duration, expertLoadsPerSecond, s.ChecksFence)
	d.Groups[s.Group] = g
	return g, nil
}
