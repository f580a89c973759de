// Command storm shows whether gateways apply manifests in time that come in quick succession while the
// open channels to the store go silent.
package main

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"geraniumpass/review/platform/base"
)

const (
	zones   = 3
	service = "desk"
	host    = "desk.example"
	keptKey = "key-that-stays-0001"
	oldKey  = "key-that-goes-00001"

	configApply  = 3000 * time.Millisecond
	stableWindow = 4000 * time.Millisecond
	historyS     = 20 * time.Second
	// valueBytes is the largest value that the store takes.
	valueBytes = 1 << 20
)

type options struct {
	record  string
	trouble bool
	routes  int
	fronts  int
	gap     time.Duration
	storm   time.Duration
	watched time.Duration
}

func main() {
	var o options
	flag.StringVar(&o.record, "record", "record.txt", "file to write")
	flag.IntVar(&o.routes, "routes", 1640, "idle routes of the manifest")
	flag.IntVar(&o.fronts, "gateways", 3, "gateways")
	flag.DurationVar(&o.gap, "gap", 80*time.Millisecond, "time between two manifests")
	flag.DurationVar(&o.storm, "storm", 2*time.Second, "how long manifests come")
	flag.DurationVar(&o.watched, "watched", 26*time.Second, "how long requests are sent after the storm")
	flag.Parse()
	o.trouble = os.Getenv("TROUBLE") != "0"
	code, err := run(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(base.ExitFailed)
	}
	os.Exit(code)
}

type scene struct {
	o         options
	rec       *base.Record
	store     *base.Store
	relays    []*base.Relay
	gateways  []*base.Gateway
	upstreams []*base.Upstream
	dir       string

	mu sync.Mutex
	// confirmedAt is when the store confirmed the version without the old key.
	confirmedAt time.Time
	broken      int
	refused     int
	other       map[int]int
	lastBroken  time.Time
}

func (s *scene) close() {
	for _, g := range s.gateways {
		g.Signal(syscall.SIGKILL)
	}
	for _, g := range s.gateways {
		g.Kill()
	}
	for _, r := range s.relays {
		r.Close()
	}
	for _, u := range s.upstreams {
		u.Close()
	}
	if s.store != nil {
		s.store.Close()
	}
	s.rec.Close()
	_ = os.RemoveAll(s.dir)
}

// manifest returns a version of the manifest, with or without the old key.
func (s *scene) manifest(version int, withOld bool) map[string]any {
	routes := []map[string]any{route("r-0", "/a/")}
	for i := 1; i <= s.o.routes; i++ {
		routes = append(routes, route(fmt.Sprintf("r-idle-%d", i), fmt.Sprintf("/idle%d/", i)))
	}
	keys := []string{keptKey}
	if withOld {
		keys = append(keys, oldKey)
	}
	return map[string]any{
		"version":  version,
		"routes":   routes,
		"services": []map[string]any{{"name": service, "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": "acoustics", "apiKeys": keys, "priority": 1}},
	}
}

func route(name, prefix string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "kind": "idempotent", "timeoutMs": 1000, "targetLatencyMs": 100,
		"priority": 2, "service": service, "attempts": 2, "allowAnonymous": false, "stickySessions": false,
	}
}

func run(o options) (int, error) {
	rec, err := base.NewRecord(o.record)
	if err != nil {
		return base.ExitFailed, err
	}
	s := &scene{
		o:     o,
		rec:   rec,
		other: make(map[int]int),
	}
	defer s.close()
	if err := s.build(); err != nil {
		return base.ExitFailed, err
	}
	size := s.manifestBytes()
	rec.Printf("trouble %t, %d gateways, manifest of %d bytes (valueBytes %d), a version each %s for %s", o.trouble, o.fronts, size, valueBytes, o.gap, o.storm)
	if size > valueBytes {
		return base.ExitFailed, fmt.Errorf("manifest has %d bytes", size)
	}
	if !base.AwaitReady(s.gateways, 15*time.Second) {
		return base.ExitFailed, fmt.Errorf("gateways are not ready")
	}
	for i := range s.gateways {
		if status, _ := s.send(i, "first", oldKey); status != http.StatusOK {
			return base.ExitFailed, fmt.Errorf("first request got %d", status)
		}
	}
	time.Sleep(time.Second)
	s.play()
	return s.judge(), nil
}

func (s *scene) manifestBytes() int {
	return base.Size(s.manifest(1, true))
}

func (s *scene) build() error {
	var err error
	if s.dir, err = os.MkdirTemp("", "storm"); err != nil {
		return err
	}
	if s.store, err = base.StartStore(historyS); err != nil {
		return err
	}
	s.store.Put("op/config", s.manifest(1, true))
	for i := range zones {
		u, err := base.StartUpstream(fmt.Sprintf("i-%d", i), 6, 24, 15*time.Millisecond)
		if err != nil {
			return err
		}
		s.upstreams = append(s.upstreams, u)
		s.store.Put("servers/"+u.ID, u.Entry(service, fmt.Sprintf("hall-%c", 'a'+i)))
	}
	var seeds []string
	for i := range s.o.fronts {
		relay, err := base.StartRelay(s.store.Address())
		if err != nil {
			return err
		}
		s.relays = append(s.relays, relay)
		g, err := base.NewGateway(s.dir, i, base.Settings{
			ID:       fmt.Sprintf("front-hall-%c-%d", 'a'+i%zones, i/zones+1),
			Zone:     fmt.Sprintf("hall-%c", 'a'+i%zones),
			Store:    relay.Address(),
			MemoryMB: 536,
			Bound:    configApply,
		})
		if err != nil {
			return err
		}
		s.gateways = append(s.gateways, g)
		if i < zones {
			seeds = append(seeds, g.Control)
		}
	}
	for _, g := range s.gateways {
		g.Settings.Seeds = seeds
		if err := g.Start(true); err != nil {
			return err
		}
	}
	return nil
}

// play sends requests with the old key while manifests come, and after them.
func (s *scene) play() {
	stop := make(chan struct{})
	var senders sync.WaitGroup
	for i := range s.gateways {
		senders.Add(1)
		go func() {
			defer senders.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				s.try(i, n)
			}
		}()
	}
	versions := int(s.o.storm / s.o.gap)
	tick := time.NewTicker(s.o.gap)
	for v := range versions {
		<-tick.C
		if v == 0 && s.o.trouble {
			for i, r := range s.relays {
				s.rec.Printf("open channels of %s to the store go silent: %d", s.gateways[i].Settings.ID, r.Silence())
			}
		}
		s.store.Put("op/config", s.manifest(v+2, v < versions/2))
		now := time.Now()
		if v == versions/2 {
			s.mu.Lock()
			s.confirmedAt = now
			s.mu.Unlock()
		}
		s.rec.PrintfAt(now, "store confirms version %d, %s", v+2, map[bool]string{true: "with the old key", false: "without the old key"}[v < versions/2])
	}
	tick.Stop()
	s.rec.Printf("last version is confirmed")
	time.Sleep(s.o.watched)
	close(stop)
	senders.Wait()
}

// try sends a request with the old key and counts what becomes of it.
func (s *scene) try(i, n int) {
	sent := time.Now()
	id := fmt.Sprintf("t-%d-%d", i, n)
	status, err := s.send(i, id, oldKey)
	s.mu.Lock()
	defer s.mu.Unlock()
	late := !s.confirmedAt.IsZero() && sent.After(s.confirmedAt.Add(configApply).Add(stableWindow))
	text := fmt.Sprint(status)
	if err != nil {
		text = err.Error()
	}
	if n%10 == 0 || late {
		s.rec.PrintfAt(sent, "request %s with the old key to %s: %s", id, s.gateways[i].Settings.ID, text)
	}
	switch {
	case !late:
	case status == http.StatusOK:
		s.broken++
		s.lastBroken = sent
	case status == http.StatusUnauthorized:
		s.refused++
	default:
		s.other[status]++
	}
}

func (s *scene) send(i int, id, key string) (int, error) {
	c := http.Client{Timeout: 2 * time.Second}
	req, err := http.NewRequest(http.MethodGet, "http://"+s.gateways[i].Front+"/a/x", nil)
	if err != nil {
		return 0, err
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", "1000")
	req.Header.Set("X-Credential", key)
	resp, err := c.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

func (s *scene) judge() int {
	for _, u := range s.upstreams {
		for _, r := range u.Runs() {
			s.rec.PrintfAt(r.At, "server %s runs %s for %s", u.ID, r.Attempt, r.Tenant)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := 0
	late := s.confirmedAt.Add(configApply).Add(stableWindow)
	for _, u := range s.upstreams {
		for _, r := range u.Runs() {
			if r.At.After(late) {
				runs++
			}
		}
	}
	s.rec.Printf("requests with the dropped key sent over %s after the confirmation: %d run and answered 200, %d answered 401, others %v; servers ran %d after that",
		configApply+stableWindow, s.broken, s.refused, s.other, runs)
	if s.broken > 0 {
		s.rec.Printf("the last of them was sent %.1f s after the confirmation", s.lastBroken.Sub(s.confirmedAt).Seconds())
		return base.ExitBroken
	}
	return base.ExitHeld
}
