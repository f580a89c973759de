// Command case1 shows what happens to a group of ranks when the machine that gave the last order to a server
// stands still for half a second while the system recovers from a loss of power of all machines.
package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"geraniumpass/deploy"
	"geraniumpass/platform/emul"
	"geraniumpass/review/platform/kit"
)

const (
	gateways = 3

	host    = "hall.example"
	key     = "key-of-acme"
	service = "geranium-lm"

	// killAt is when all machines lose power, downTime how long they are down.
	killAt   = 10 * time.Second
	downTime = time.Second
	// freezeTime is how long a machine stands still, freezePause the least time between two freezes. They
	// take place from freezeFrom to freezeUntil after the machines are back.
	freezeTime  = 550 * time.Millisecond
	freezePause = 1000 * time.Millisecond
	freezeFrom  = 1500 * time.Millisecond
	freezeUntil = 28 * time.Second
	// recovery is recoveryS; judged is how long requests are sent after it.
	recovery = 12 * time.Second
	judged   = 73 * time.Second

	requestEvery = 80 * time.Millisecond
	deadline     = 8 * time.Second
	// patience is how long a client waits for the first and for each further event.
	patience = 2 * time.Second
	// leastShare is the share of requests that is to be served.
	leastShare = 0.25
)

func main() {
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

type site struct {
	rec      *kit.Record
	binary   string
	dir      string
	store    *emul.Store
	group    *group
	port     string
	gateways []*kit.Gateway

	mu       sync.Mutex
	sidecars []*kit.Process
	// Freezes are allowed from freezeFrom to freezeUntil; frozenAt is when the last one ended.
	freezeFrom  time.Time
	freezeUntil time.Time
	frozenAt    time.Time
	freezes     int
}

func run(binary, dir, recordFile string) int {
	rec, err := kit.NewRecord(recordFile)
	if err != nil {
		fmt.Println(err)
		return kit.NotRun
	}
	s := &site{
		rec:    rec,
		binary: binary,
		dir:    dir,
		store:  emul.NewStore("127.0.0.1:0"),
		group:  newGroup(),
	}
	defer s.close()
	if err := s.start(); err != nil {
		rec.Say("could not start: %v", err)
		return kit.NotRun
	}
	return s.play()
}

// start starts the stand-ins and the processes.
func (s *site) start() error {
	if err := s.store.Server.Start(); err != nil {
		return err
	}
	var ips []string
	for i := range ranks {
		ips = append(ips, fmt.Sprintf("127.0.0.%d", 70+i))
	}
	var err error
	if s.port, err = deploy.FreePort(ips...); err != nil {
		return err
	}
	for i, r := range s.group.ranks {
		app, err := deploy.FreePort(ips[i])
		if err != nil {
			return err
		}
		if err := r.listen(net.JoinHostPort(ips[i], app)); err != nil {
			return err
		}
		if err := s.register(r); err != nil {
			return err
		}
	}
	if err := s.store.Put("op/config", manifest(1)); err != nil {
		return err
	}
	s.group.onHold = s.held
	s.group.onPass = func(step int64) {
		if step%25 == 0 {
			s.rec.Add("pass %d begins", step)
		}
	}
	s.group.runs = func(id string, r *rank) { s.rec.Add("run %s at %s", id, r.id) }
	go s.group.run()
	if err := s.startSidecars(); err != nil {
		return err
	}
	s.gateways, err = kit.GatewaysWith(s.binary, s.dir, s.store.Server.Address(), gateways, map[string]any{"agent_port": s.port})
	return err
}

// register writes the entry of a server into the store.
func (s *site) register(r *rank) error {
	return s.store.Put("servers/"+r.id, emul.Entry(service, r.address, map[string]any{"zone": "hall-a", "slots": slots, "born": r.born}))
}

func (s *site) startSidecars() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sidecars = nil
	for i, r := range s.group.ranks {
		ip, _, _ := net.SplitHostPort(r.address)
		p, err := kit.Start(s.binary, "sidecar", s.dir, fmt.Sprintf("side-%d", i), map[string]any{
			"role": "sidecar", "id": fmt.Sprintf("side-%d", i), "domain": "hall-a", "listen": net.JoinHostPort(ip, s.port),
			"store": s.store.Server.Address(), "upstream": r.address, "service": service, "link_key": "geraniumpass-platform-link",
			"limits": map[string]any{"memory_mb": 152}, "log": map[string]any{"level": "info", "json": true},
		})
		if err != nil {
			return err
		}
		s.sidecars = append(s.sidecars, p)
	}
	return nil
}

func (s *site) close() {
	s.mu.Lock()
	for _, p := range s.sidecars {
		if p.Running() {
			p.Stop()
		}
	}
	s.mu.Unlock()
	kit.StopAll(s.gateways)
	for _, r := range s.group.ranks {
		if r.server != nil {
			_ = r.server.Close()
		}
	}
	close(s.group.stop)
	s.store.Close()
}

func manifest(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "hall-query", "host": host, "prefix": "/hall/", "kind": "streaming", "streamResume": true, "service": service, "attempts": 2,
			"timeoutMs": deadline.Milliseconds(), "targetLatencyMs": 400, "targetGapMs": 120, "priority": 1,
		}},
		"services": []map[string]any{{"name": service, "maxConnections": 258, "engine": map[string]any{
			"slots": slots, "stride": 6, "step_ms": 10.0, "per_seq_ms": 0.36, "context_per_k": 0.011, "read_per_s": 74800.0, "pairs_per_m": 0.23, "chunk": 512,
			"sets": sets, "experts": experts, "placements": places, "spare": spare, "expertMb": expertMB, "linkMbps": linkMbps, "expertShare": 0.85,
			"usual": map[string]any{"prompt": 714, "answer": 72}, "report_lag_ms": 200,
		}}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
		"tenants": []map[string]any{{"name": "acme", "apiKeys": []string{key}}},
	}
}

// held freezes the machine that has just given the order to hold, if a freeze is due.
func (s *site) held(r *rank) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.freezeFrom.IsZero() || now.Before(s.freezeFrom) || now.After(s.freezeUntil) || now.Sub(s.frozenAt) < freezePause {
		return
	}
	s.frozenAt = now.Add(freezeTime)
	s.freezes++
	p := s.sidecars[r.index]
	p.Signal(syscall.SIGSTOP)
	s.rec.Add("%s stands still", p.Name)
	time.AfterFunc(freezeTime, func() {
		p.Signal(syscall.SIGCONT)
		s.rec.Add("%s goes on", p.Name)
	})
}

// powerOff cuts the power of all machines right after a change of the manifest and starts them again.
func (s *site) powerOff() error {
	if err := s.store.Put("op/config", manifest(2)); err != nil {
		return err
	}
	s.mu.Lock()
	for _, p := range s.sidecars {
		p.Signal(syscall.SIGKILL)
	}
	for _, g := range s.gateways {
		g.Signal(syscall.SIGKILL)
	}
	for _, p := range s.sidecars {
		<-p.Done()
	}
	s.mu.Unlock()
	s.group.powerOff()
	s.rec.Add("all machines lose power")
	time.Sleep(downTime)
	if err := s.group.powerOn(); err != nil {
		return err
	}
	for _, r := range s.group.ranks {
		if err := s.register(r); err != nil {
			return err
		}
	}
	if err := s.startSidecars(); err != nil {
		return err
	}
	for _, g := range s.gateways {
		<-g.Done()
		if err := g.Restart(s.binary, s.dir); err != nil {
			return err
		}
	}
	s.rec.Add("all machines are back")
	return nil
}

// outcome is what became of a request.
type outcome struct {
	sent   time.Time
	served bool
}

func (s *site) play() int {
	began := time.Now()
	var mu sync.Mutex
	var outcomes []outcome
	var clients sync.WaitGroup
	stop := make(chan struct{})
	clients.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(requestEvery):
			}
			id := fmt.Sprintf("q%05d", i)
			g := s.gateways[rand.IntN(len(s.gateways))]
			clients.Go(func() {
				sent := time.Now()
				served := s.request(g, id)
				mu.Lock()
				defer mu.Unlock()
				outcomes = append(outcomes, outcome{sent: sent, served: served})
			})
		}
	})
	time.Sleep(killAt)
	killed := time.Now()
	if err := s.powerOff(); err != nil {
		s.rec.Say("could not restart: %v", err)
		return kit.NotRun
	}
	back := time.Now()
	if kit.Trouble() {
		s.mu.Lock()
		s.freezeFrom, s.freezeUntil = back.Add(freezeFrom), back.Add(freezeUntil)
		s.mu.Unlock()
	}
	time.Sleep(recovery + judged)
	close(stop)
	clients.Wait()
	return s.check(outcomes, began, killed, back)
}

// request sends a request and reports whether it was answered once and in full in its time.
func (s *site) request(g *kit.Gateway, id string) bool {
	s.rec.Add("sent %s to %s", id, g.Name)
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	leave := time.AfterFunc(patience, cancel)
	defer leave.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.Front+"/hall/q", strings.NewReader("prompt of "+id))
	if err != nil {
		return false
	}
	req.Host = host
	for name, value := range map[string]string{
		"X-Attempt-Id": id, "X-Credential": key, "X-Model": "m", "X-Token-Usage": "714,72", "X-Deadline-Ms": "8000",
		"X-Prompt-Prefix": "a1:40," + id[1:] + ":674",
	} {
		req.Header.Set(name, value)
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}).Do(req)
	if err != nil {
		s.rec.Add("answered %s: %v", id, err)
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	var body strings.Builder
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		body.WriteString(line)
		if err != nil {
			break
		}
		leave.Reset(patience)
	}
	var whole strings.Builder
	for n := range events {
		whole.WriteString(event(id, n))
	}
	served := resp.StatusCode == http.StatusOK && resp.Header.Get("X-Server-Signature") != "" && body.String() == whole.String()
	s.rec.Add("answered %s: status %d, %d bytes, whole %v, left %v", id, resp.StatusCode, body.Len(), served, ctx.Err() != nil)
	return served
}

// check applies the rule.
func (s *site) check(outcomes []outcome, began, killed, back time.Time) int {
	share := func(from, to time.Time) (served, all int) {
		for _, o := range outcomes {
			if o.sent.After(from) && o.sent.Before(to) {
				all++
				if o.served {
					served++
				}
			}
		}
		return served, all
	}
	for from := began; from.Before(back.Add(recovery + judged)); from = from.Add(2 * time.Second) {
		served, all := share(from, from.Add(2*time.Second))
		s.rec.Add("requests sent from second %.1f on: %d of %d served", from.Sub(s.rec.Began).Seconds(), served, all)
	}
	s.group.mu.Lock()
	switches, mixed := s.group.switches, len(s.group.mixed)
	heldFor := time.Duration(0)
	if !s.group.heldSince.IsZero() {
		heldFor = time.Since(s.group.heldSince)
	}
	s.group.mu.Unlock()
	before, allBefore := share(began.Add(2*time.Second), killed.Add(-2*time.Second))
	after, allAfter := share(back.Add(recovery), back.Add(recovery+judged))
	s.rec.Say("%d freezes of %v; %d changes of map, %d passes with different maps; at the end the group had been held for %v", s.freezes, freezeTime, switches, mixed, heldFor.Round(time.Millisecond))
	s.rec.Say("before the final fault %d of %d requests were served; of those sent later than 12 s after the machines were back, %d of %d", before, allBefore, after, allAfter)
	switch {
	case allBefore == 0 || allAfter == 0 || float64(before) < leastShare*float64(allBefore):
		s.rec.Say("the case did not run: too little was served before")
		return kit.NotRun
	case float64(after) < leastShare*float64(allAfter):
		s.rec.Say("BROKEN: RECOVER")
		return kit.Broken
	}
	s.rec.Say("held")
	return kit.Held
}
