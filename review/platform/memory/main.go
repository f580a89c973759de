// Command memory shows whether a gateway survives the calls of all clients, each within the limits of the
// manifest, when the platform hands most new channels to it.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"geraniumpass/review/platform/base"
)

const (
	gateways = 9
	service  = "portal-app"
	host     = "portal.example"
	key      = "key-of-a-festival-01"
	// memoryMB is what a machine has; the platform kills a process that exceeds it.
	memoryMB = 284
	// restartDelay is how long the platform takes to start a process again.
	restartDelay = 500 * time.Millisecond
	budget       = 4 * time.Second
	work         = 60 * time.Millisecond
	// maxBodyBytes is the limit of the manifest.
	maxBodyBytes = 4194304
	// toleratedLosses is how many closed channels the rule allows.
	toleratedLosses = 3
)

type options struct {
	record  string
	trouble bool
	callers int
	senders int
	bytes   int
	upload  time.Duration
	waves   int
}

func main() {
	var o options
	flag.StringVar(&o.record, "record", "record.txt", "file to write")
	flag.IntVar(&o.callers, "callers", 38, "clients that send short calls")
	flag.IntVar(&o.senders, "senders", 60, "clients that send long bodies")
	flag.IntVar(&o.bytes, "bytes", maxBodyBytes, "bytes of a long body")
	flag.DurationVar(&o.upload, "upload", 2200*time.Millisecond, "how long a client takes to send a long body")
	flag.IntVar(&o.waves, "waves", 3, "how often the long bodies are sent")
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
	gateways  []*base.Gateway
	upstreams []*base.Upstream
	dir       string
	peakMB    []atomic.Int64
	kills     atomic.Int64
	stopping  atomic.Bool
	next      atomic.Int64

	mu    sync.Mutex
	calls map[string]int
	// lost are the calls whose kept channel was closed without an answer, by attempt.
	lost []string
}

func (s *scene) close() {
	s.stopping.Store(true)
	for _, g := range s.gateways {
		g.Kill()
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

func run(o options) (int, error) {
	rec, err := base.NewRecord(o.record)
	if err != nil {
		return base.ExitFailed, err
	}
	s := &scene{
		o:      o,
		rec:    rec,
		calls:  make(map[string]int),
		peakMB: make([]atomic.Int64, gateways),
	}
	defer s.close()
	if err := s.build(); err != nil {
		return base.ExitFailed, err
	}
	if !base.AwaitReady(s.gateways, 15*time.Second) {
		return base.ExitFailed, fmt.Errorf("gateways are not ready")
	}
	rec.Printf("trouble %t, %d gateways of %d MB, %d clients with short calls, %d with bodies of %d bytes", o.trouble, gateways, memoryMB, o.callers, o.senders, o.bytes)
	for i := range s.gateways {
		go s.watchMemory(i)
	}
	s.play()
	return s.judge(), nil
}

func (s *scene) build() error {
	var err error
	if s.dir, err = os.MkdirTemp("", "memory"); err != nil {
		return err
	}
	if s.store, err = base.StartStore(20 * time.Second); err != nil {
		return err
	}
	s.store.Put("op/config", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "entry-commit", "host": host, "prefix": "/commit/", "kind": "non_idempotent", "timeoutMs": budget.Milliseconds(), "targetLatencyMs": 300,
			"priority": 2, "service": service, "attempts": 2, "allowAnonymous": false, "stickySessions": false,
		}},
		"services": []map[string]any{{"name": service, "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": "festival", "apiKeys": []string{key}, "priority": 1}},
	})
	for i := range 3 {
		u, err := base.StartUpstream(fmt.Sprintf("i-%d", i), 6, 24, work)
		if err != nil {
			return err
		}
		s.upstreams = append(s.upstreams, u)
		s.store.Put("servers/"+u.ID, u.Entry(service, zone(i)))
	}
	var seeds []string
	for i := range gateways {
		g, err := base.NewGateway(s.dir, i, base.Settings{
			ID:       fmt.Sprintf("front-%s-%d", zone(i), i/3+1),
			Zone:     zone(i),
			Store:    s.store.Address(),
			MemoryMB: memoryMB,
		})
		if err != nil {
			return err
		}
		s.gateways = append(s.gateways, g)
		if i < 3 {
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

func zone(i int) string {
	return [...]string{"catania-a", "palermo-b", "siracusa-c"}[i%3]
}

// watchMemory kills a gateway that exceeds its memory and starts it again, as the platform does.
func (s *scene) watchMemory(i int) {
	g := s.gateways[i]
	for !s.stopping.Load() {
		time.Sleep(5 * time.Millisecond)
		mb := g.ResidentMB()
		if int64(mb) > s.peakMB[i].Load() {
			s.peakMB[i].Store(int64(mb))
		}
		if mb <= memoryMB {
			continue
		}
		s.rec.Printf("%s uses %.0f MB of %d MB, the platform kills it", g.Settings.ID, mb, memoryMB)
		s.kills.Add(1)
		g.Kill()
		time.Sleep(restartDelay)
		if s.stopping.Load() {
			return
		}
		if err := g.Start(false); err != nil {
			s.rec.Printf("%s doesn't start: %v", g.Settings.ID, err)
			return
		}
	}
}

// gatewayOf returns the gateway to which the platform hands a client's channel.
func (s *scene) gatewayOf(client int) int {
	if s.o.trouble {
		return 0
	}
	return client % gateways
}

func (s *scene) play() {
	var all sync.WaitGroup
	done := make(chan struct{})
	for c := range s.o.callers {
		all.Add(1)
		go func() {
			defer all.Done()
			s.callShort(c, done)
		}()
	}
	var senders sync.WaitGroup
	for c := range s.o.senders {
		senders.Add(1)
		go func() {
			defer senders.Done()
			for w := range s.o.waves {
				time.Sleep(time.Second + time.Duration(c)*5*time.Millisecond)
				s.sendLong(s.o.callers+c, w)
			}
		}()
	}
	senders.Wait()
	time.Sleep(2 * time.Second)
	close(done)
	all.Wait()
}

// callShort sends short calls over kept channels, about two a second.
func (s *scene) callShort(client int, done <-chan struct{}) {
	time.Sleep(time.Duration(client) * 1000 / time.Duration(s.o.callers) * time.Millisecond)
	var ch *channel
	for {
		select {
		case <-done:
			ch.close()
			return
		case <-time.After(400 * time.Millisecond):
		}
		if ch == nil {
			if ch = s.dial(client); ch == nil {
				continue
			}
		}
		if !s.exchange(ch, client, 600, 0) {
			ch.close()
			ch = nil
		}
	}
}

// sendLong sends a short call and then one with a long body over the same channel.
func (s *scene) sendLong(client, _ int) {
	ch := s.dial(client)
	if ch == nil {
		return
	}
	defer ch.close()
	if s.exchange(ch, client, 600, 0) {
		s.exchange(ch, client, s.o.bytes, s.o.upload)
	}
}

// channel is a client's connection to a gateway.
type channel struct {
	conn    net.Conn
	reader  *bufio.Reader
	answers int
}

func (c *channel) close() {
	if c != nil {
		_ = c.conn.Close()
	}
}

func (s *scene) dial(client int) *channel {
	conn, err := net.DialTimeout("tcp4", s.gateways[s.gatewayOf(client)].Front, time.Second)
	if err != nil {
		return nil
	}
	return &channel{
		conn:   conn,
		reader: bufio.NewReader(conn),
	}
}

// exchange sends a call, its body evenly over a time, and reads its answer. It reports whether the channel
// can be kept.
func (s *scene) exchange(ch *channel, client, size int, over time.Duration) bool {
	id := fmt.Sprintf("c%d-%d", client, s.next.Add(1))
	sent := time.Now()
	_ = ch.conn.SetDeadline(sent.Add(budget))
	head := "POST /commit/x HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: " + strconv.FormatInt(budget.Milliseconds(), 10) +
		"\r\nX-Credential: " + key + "\r\nContent-Length: " + strconv.Itoa(size) + "\r\n\r\n"
	_, err := ch.conn.Write([]byte(head))
	if err == nil {
		err = sendBody(ch.conn, size, over)
	}
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(ch.reader, nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	if err != nil {
		s.count(id, "no answer", sent, size, ch.answers > 0)
		return false
	}
	ch.answers++
	s.count(id, strconv.Itoa(resp.StatusCode), sent, size, false)
	return !resp.Close
}

func sendBody(conn net.Conn, size int, over time.Duration) error {
	const parts = 40
	if over == 0 {
		_, err := conn.Write(make([]byte, size))
		return err
	}
	start := time.Now()
	for i := range parts {
		part := size / parts
		if i == parts-1 {
			part = size - part*(parts-1)
		}
		if _, err := conn.Write(make([]byte, part)); err != nil {
			return err
		}
		time.Sleep(time.Until(start.Add(over * time.Duration(i+1) / parts)))
	}
	return nil
}

// count records how a call ended; keptLost is set if a kept channel was closed without an answer.
func (s *scene) count(id, result string, sent time.Time, size int, keptLost bool) {
	s.rec.PrintfAt(sent, "call %s with %d bytes: %s after %d ms", id, size, result, time.Since(sent).Milliseconds())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[result]++
	if keptLost {
		s.lost = append(s.lost, id)
	}
}

func (s *scene) judge() int {
	for _, u := range s.upstreams {
		for _, r := range u.Runs() {
			s.rec.PrintfAt(r.At, "server %s runs %s for %s", u.ID, r.Attempt, r.Tenant)
		}
	}
	// The servers are sound; what they were sent is read after all calls have ended.
	s.mu.Lock()
	defer s.mu.Unlock()
	passed := 0
	for _, id := range s.lost {
		for _, u := range s.upstreams {
			if u.Arrived(id) {
				passed++
				s.rec.Printf("call %s reached %s, and its kept channel was closed without an answer", id, u.ID)
			}
		}
	}
	for i := range s.peakMB {
		s.rec.Printf("%s used %d MB at most", s.gateways[i].Settings.ID, s.peakMB[i].Load())
	}
	s.rec.Printf("calls by result: %v", s.calls)
	s.rec.Printf("%d kills; %d kept channels closed without an answer, %d of them after the call was passed on to a sound server (the rule allows %d)",
		s.kills.Load(), len(s.lost), passed, toleratedLosses)
	if passed > toleratedLosses {
		return base.ExitBroken
	}
	return base.ExitHeld
}
