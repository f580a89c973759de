package base

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Run is a request that a server began to work on.
type Run struct {
	Attempt string
	Tenant  string
	At      time.Time
}

// Upstream is a plain server as PROTOCOL.md describes it: it works on slots requests at once, queues a few
// more and rejects the others.
type Upstream struct {
	ID string

	work     time.Duration
	slots    chan struct{}
	places   chan struct{}
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	arrivals map[string]bool
	runs     []Run
	// floodEvery is one in how many requests is answered with wrong bytes, zero for none; floodRate is how
	// many of them are sent a second.
	floodEvery int
	floodRate  int
	handled    int
	flooding   bool
}

// StartUpstream starts a server on a free port of the loopback interface.
func StartUpstream(id string, slots, queue int, work time.Duration) (*Upstream, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &Upstream{
		ID:       id,
		work:     work,
		slots:    make(chan struct{}, slots),
		places:   make(chan struct{}, slots+queue),
		listener: ln,
		arrivals: make(map[string]bool),
	}
	u.server = &http.Server{Handler: http.HandlerFunc(u.handle)}
	go func() { _ = u.server.Serve(ln) }()
	return u, nil
}

// Address returns the address of the server.
func (u *Upstream) Address() string {
	return u.listener.Addr().String()
}

// Close stops the server.
func (u *Upstream) Close() {
	_ = u.server.Close()
}

// Entry returns the entry of the server in the store.
func (u *Upstream) Entry(service, zone string) map[string]any {
	return map[string]any{
		"service":         service,
		"address":         u.Address(),
		"zone":            zone,
		"version":         "1",
		"slots":           cap(u.slots),
		"state":           "ready",
		"coldRemainingMs": 0,
		"seq":             1,
		"born":            time.Now().UnixMilli(),
	}
}

// SetFlood makes the server answer one in every requests with bytes that are not a response, rate bytes a
// second for all such requests together.
func (u *Upstream) SetFlood(every, rate int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.floodEvery, u.floodRate = every, rate
}

// IsFaulty reports whether the server answers some requests with wrong bytes.
func (u *Upstream) IsFaulty() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.floodEvery > 0
}

// Arrived reports whether a request reached the server as a whole.
func (u *Upstream) Arrived(attempt string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.arrivals[attempt]
}

// Runs returns the requests that the server began to work on.
func (u *Upstream) Runs() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Run(nil), u.runs...)
}

func (u *Upstream) handle(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	w.Header().Set("X-Instance-Id", u.ID)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != u.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	u.mu.Lock()
	u.arrivals[attempt] = true
	u.mu.Unlock()
	select {
	case u.places <- struct{}{}:
		defer func() { <-u.places }()
	default:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	case <-r.Context().Done():
		return
	}
	u.mu.Lock()
	u.runs = append(u.runs, Run{
		Attempt: attempt,
		Tenant:  r.Header.Get("X-Tenant"),
		At:      time.Now(),
	})
	u.mu.Unlock()
	time.Sleep(u.work)
	if u.takeFlood() {
		u.flood(w)
		return
	}
	w.Header().Set("X-Server-Signature", "s."+u.ID+"."+attempt)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", len(u.slots), max(0, len(u.places)-len(u.slots)), cap(u.slots)))
	_, _ = w.Write(make([]byte, answerBytes))
}

// answerBytes is the size of an answer.
const answerBytes = 800

// takeFlood reports whether this request is answered with wrong bytes. One is at a time.
func (u *Upstream) takeFlood() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.handled++
	if u.floodEvery == 0 || u.flooding || u.handled%u.floodEvery != 0 {
		return false
	}
	u.flooding = true
	return true
}

// flood sends bytes that are not a response until the caller closes the connection.
func (u *Upstream) flood(w http.ResponseWriter) {
	defer func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.flooding = false
	}()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	const perSecond = 100
	part := bytes.Repeat([]byte("z"), u.floodRate/perSecond)
	tick := time.NewTicker(time.Second / perSecond)
	defer tick.Stop()
	for {
		if _, err := conn.Write(part); err != nil {
			return
		}
		<-tick.C
	}
}
