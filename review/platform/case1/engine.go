package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const none = -1

// The engines of the group, in the terms of the pages.
const (
	ranks    = 12
	sets     = 3
	experts  = 96
	places   = 11
	spare    = 4
	slots    = 12
	expertMB = 2200.0
	linkMbps = 44000.0
	passTime = 80 * time.Millisecond
	events   = 20
	topics   = 9
	skew     = 1.3
	common   = 0.6
	picks    = 40
)

// copyTime is how long a rank copies one expert.
const copyTime = time.Duration(expertMB * 8 / linkMbps * float64(time.Second))

// group runs the passes of all ranks.
type group struct {
	mu     sync.Mutex
	epoch  int64
	step   int64
	ranks  []*rank
	random *rand.Rand
	likes  *likes
	// held is how long a hold has kept the next pass from beginning, heldSince when it began to.
	heldSince time.Time
	// mixed lists the passes in which two ranks had different maps.
	mixed    []int64
	switches int
	// onHold is called when a rank has accepted a hold.
	onHold func(r *rank)
	onPass func(step int64)
	runs   func(id string, r *rank)
	stop   chan struct{}
}

// rank is the model server of one rank.
type rank struct {
	group   *group
	index   int
	id      string
	born    int64
	address string
	server  *http.Server

	seq      int64
	layout   [][][]int
	version  int64
	prepared int64
	next     [][][]int
	loading  int64
	armed    int64
	armedAt  int64
	heldStep int64
	counts   []int64
	active   map[*stream]bool
}

// stream is a request that is being answered; out gets the number of an event with each pass.
type stream struct {
	id    string
	topic int
	sent  int
	out   chan int
	begun bool
}

func newGroup() *group {
	g := &group{
		epoch:  1,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		likes:  newLikes(rand.New(rand.NewPCG(7, 7))),
		onHold: func(*rank) {},
		onPass: func(int64) {},
		runs:   func(string, *rank) {},
		stop:   make(chan struct{}),
	}
	for i := range ranks {
		r := &rank{
			group: g,
			index: i,
			id:    fmt.Sprintf("i-rank-%d", i),
		}
		r.reset()
		g.ranks = append(g.ranks, r)
	}
	return g
}

// reset is what a start makes of a rank: it has the first map, and nothing else.
func (r *rank) reset() {
	r.born = time.Now().UnixMilli()
	r.seq, r.version = 0, 0
	r.prepared, r.loading, r.armed, r.armedAt, r.heldStep = none, none, none, none, none
	r.counts = make([]int64, sets*experts)
	r.active = make(map[*stream]bool)
	r.layout = make([][][]int, sets)
	for s := range r.layout {
		r.layout[s] = make([][]int, ranks)
		for e := range experts {
			r.layout[s][e%ranks] = append(r.layout[s][e%ranks], e)
		}
	}
}

// powerOff ends all servers at once; powerOn starts them again at their addresses, in a new epoch.
func (g *group) powerOff() {
	for _, r := range g.ranks {
		_ = r.server.Close()
	}
}

func (g *group) powerOn() error {
	g.mu.Lock()
	g.epoch++
	g.heldSince = time.Time{}
	for _, r := range g.ranks {
		r.reset()
	}
	g.mu.Unlock()
	for _, r := range g.ranks {
		if err := r.listen(r.address); err != nil {
			return err
		}
	}
	return nil
}

// listen starts the server of a rank at an address.
func (r *rank) listen(address string) error {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	r.address = address
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	go func() { _ = r.server.Serve(ln) }()
	return nil
}

// run begins a pass every passTime while there are requests, unless a rank holds it.
func (g *group) run() {
	t := time.NewTicker(passTime)
	defer t.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-t.C:
			g.mu.Lock()
			g.pass()
			g.mu.Unlock()
		}
	}
}

func (g *group) pass() {
	busy := false
	for _, r := range g.ranks {
		busy = busy || len(r.active) > 0
	}
	if !busy {
		return
	}
	next := g.step + 1
	for _, r := range g.ranks {
		if r.heldStep == next {
			if g.heldSince.IsZero() {
				g.heldSince = time.Now()
			}
			return
		}
	}
	g.heldSince = time.Time{}
	g.step = next
	g.switchMaps(next)
	for _, r := range g.ranks {
		for s := range r.active {
			r.advance(s)
		}
	}
	g.onPass(next)
}

// switchMaps applies the maps that are armed for a pass and compares those of all ranks.
func (g *group) switchMaps(step int64) {
	changed := false
	for _, r := range g.ranks {
		if r.armed != none && r.armedAt == step {
			r.version, r.layout = r.armed, r.next
			r.armed, r.armedAt, r.prepared = none, none, none
			changed = true
		}
	}
	if changed {
		g.switches++
	}
	first, _ := json.Marshal(g.ranks[0].layout)
	for _, r := range g.ranks {
		own, _ := json.Marshal(r.layout)
		if r.version != g.ranks[0].version || string(own) != string(first) {
			g.mixed = append(g.mixed, step)
			return
		}
	}
}

// advance makes the next event of a stream and counts the experts that its tokens chose.
func (r *rank) advance(s *stream) {
	if !s.begun {
		s.begun = true
		r.group.runs(s.id, r)
	}
	for set := range sets {
		for range picks {
			r.counts[set*experts+r.group.likes.choose(r.group.random, s.topic, set)]++
		}
	}
	select {
	case s.out <- s.sent:
		s.sent++
	default:
	}
	if s.sent >= events {
		delete(r.active, s)
		close(s.out)
	}
}

// likes are the distributions from which requests choose experts: one that all have in common, and one of
// each topic.
type likes [topics + 1][sets][experts]float64

func newLikes(random *rand.Rand) *likes {
	l := &likes{}
	for topic := range l {
		for set := range sets {
			sum := 0.0
			for place, e := range random.Perm(experts) {
				l[topic][set][e] = math.Pow(float64(place+1), -skew)
				sum += l[topic][set][e]
			}
			for e := range experts {
				l[topic][set][e] /= sum
			}
		}
	}
	return l
}

// choose draws an expert.
func (l *likes) choose(random *rand.Rand, topic, set int) int {
	if random.Float64() < common {
		topic = topics
	}
	at := random.Float64()
	for e, share := range l[topic][set] {
		if at -= share; at < 0 {
			return e
		}
	}
	return experts - 1
}

func orNull(v int64) any {
	if v == none {
		return nil
	}
	return v
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ServeHTTP answers requests of clients, reports and orders.
func (r *rank) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch req.URL.Path {
	case "/geraniumpass/report":
		writeJSON(w, http.StatusOK, r.report())
	case "/geraniumpass/picked":
		writeJSON(w, http.StatusOK, r.picked(req.URL.Query().Get("lists") != ""))
	case "/geraniumpass/order":
		var o order
		if json.NewDecoder(req.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		w.WriteHeader(r.execute(&o))
	default:
		r.answer(w, req)
	}
}

func (r *rank) report() map[string]any {
	g := r.group
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]any{
		"born": r.born, "stage": "colocated", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
		"busy": r.loading != none, "seq": r.seq, "queued": 0, "active": len(r.active), "kvUsed": 0, "kvTotal": 494000, "handles": 0,
		"group": map[string]any{"name": "g0", "epoch": g.epoch, "rank": r.index, "state": "open"}, "size": ranks,
		"step": g.step, "pace": 1.0, "map": r.version, "prepared": orNull(r.prepared), "armed": nil, "held": orNull(r.heldStep),
	}
	if r.armed != none {
		out["armed"] = map[string]int64{"version": r.armed, "step": r.armedAt}
	}
	return out
}

func (r *rank) picked(lists bool) map[string]any {
	g := r.group
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]any{"born": r.born, "step": g.step, "epoch": g.epoch}
	if !lists {
		out["counts"] = append([]int64{}, r.counts...)
		return out
	}
	own := make([][]int, sets)
	for s := range own {
		own[s] = append([]int{}, r.layout[s][r.index]...)
	}
	out["map"], out["prepared"] = map[string]any{"version": r.version, "experts": own}, nil
	return out
}

type order struct {
	Op      string    `json:"op"`
	Epoch   int64     `json:"epoch"`
	Version int64     `json:"version"`
	Step    int64     `json:"step"`
	Map     [][][]int `json:"map"`
}

// execute carries out an order and returns the status.
func (r *rank) execute(o *order) int {
	g := r.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if o.Epoch != g.epoch {
		return http.StatusConflict
	}
	status := r.begin(o)
	if status == http.StatusAccepted {
		r.seq++
	}
	return status
}

func (r *rank) begin(o *order) int {
	g := r.group
	switch o.Op {
	case "prepare":
		return r.prepare(o)
	case "hold":
		switch {
		case r.heldStep == o.Step:
			return http.StatusOK
		case r.heldStep != none, o.Step <= g.step:
			return http.StatusConflict
		}
		r.heldStep = o.Step
		g.onHold(r)
	case "arm":
		switch {
		case r.armed == o.Version && r.armedAt == o.Step:
			return http.StatusOK
		case r.armed != none, r.prepared != o.Version, o.Step <= g.step:
			return http.StatusConflict
		}
		r.armed, r.armedAt = o.Version, o.Step
	case "disarm":
		if r.version == o.Version {
			return http.StatusConflict
		}
		if r.armed == o.Version {
			r.armed, r.armedAt = none, none
		}
	case "go":
		if r.heldStep != o.Step {
			return http.StatusOK
		}
		r.heldStep = none
	default:
		return http.StatusBadRequest
	}
	return http.StatusAccepted
}

func (r *rank) prepare(o *order) int {
	switch {
	case r.prepared == o.Version || r.loading == o.Version:
		return http.StatusOK
	case r.armed != none, o.Version <= r.version, o.Version <= r.prepared, o.Version <= r.loading, len(o.Map) != sets:
		return http.StatusConflict
	}
	missing := 0
	for s := range o.Map {
		has := make(map[int]bool)
		for _, e := range r.layout[s][r.index] {
			has[e] = true
		}
		for _, e := range o.Map[s][r.index] {
			if !has[e] {
				missing++
			}
		}
	}
	if missing > spare*sets {
		return http.StatusConflict
	}
	r.loading, r.prepared, r.next = o.Version, none, o.Map
	epoch := r.group.epoch
	time.AfterFunc(time.Duration(missing)*copyTime, func() {
		r.group.mu.Lock()
		defer r.group.mu.Unlock()
		if r.loading == o.Version && r.group.epoch == epoch {
			r.loading, r.prepared = none, o.Version
		}
	})
	return http.StatusAccepted
}

// answer streams events, one with each pass of the group.
func (r *rank) answer(w http.ResponseWriter, req *http.Request) {
	if _, err := io.ReadAll(req.Body); err != nil {
		return
	}
	id := req.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if target := req.Header.Get("X-Target-Instance"); target != "" && target != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s := &stream{
		id:  id,
		out: make(chan int, events),
	}
	for _, c := range id {
		s.topic = (s.topic*31 + int(c)) % topics
	}
	var last int
	if _, err := fmt.Sscan(req.Header.Get("Last-Event-Id"), &last); err == nil {
		s.sent = last + 1
	}
	g := r.group
	g.mu.Lock()
	full := len(r.active) >= slots
	if !full && s.sent < events {
		r.active[s] = true
	}
	running := len(r.active)
	g.mu.Unlock()
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", running, slots))
	if full {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		g.mu.Lock()
		delete(r.active, s)
		g.mu.Unlock()
	}()
	w.Header().Set("X-Server-Signature", "receipt."+r.id)
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	if s.sent >= events {
		return
	}
	for {
		select {
		case <-req.Context().Done():
			return
		case n, open := <-s.out:
			if !open {
				return
			}
			_, _ = io.WriteString(w, event(id, n))
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// event is event n of the answer to a request, the same at every server.
func event(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, id, n)
}
