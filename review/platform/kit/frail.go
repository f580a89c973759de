package kit

import (
	"fmt"
	"sync"
	"time"

	"geraniumpass/platform/emul"
)

const (
	// downTime is how long a crashed server is down: "some seconds".
	downTime = 2500 * time.Millisecond
	// entryLife is three status report intervals, after which the entry of a silent server is removed.
	entryLife = 3 * 1200 * time.Millisecond
)

// Frail is a server that crashes on some requests and comes back under a new id.
type Frail struct {
	*emul.Server

	site  *Frails
	name  string
	start int
}

// Frails are the servers of one service and their crashes.
type Frails struct {
	Service string
	List    []*Frail

	store   *emul.Store
	record  *Record
	mu      sync.Mutex
	crashes []time.Time
	stopped bool
}

// NewFrails returns the servers of a service, of which none is started yet.
func NewFrails(st *emul.Store, rec *Record, service string) *Frails {
	return &Frails{
		Service: service,
		store:   st,
		record:  rec,
	}
}

// Start starts the given number of servers, each at a loopback address of its own, and registers them in
// the store.
func (f *Frails) Start(count int) error {
	for i := range count {
		s, err := emul.NewServerAt(fmt.Sprintf("127.0.0.%d", 40+i), fmt.Sprintf("i-%d-0", i))
		if err != nil {
			return err
		}
		s.Events, s.Pause = 20, 20*time.Millisecond
		one := &Frail{
			Server: s,
			site:   f,
			name:   fmt.Sprintf("i-%d", i),
		}
		f.List = append(f.List, one)
		s.BeforeCrash(one.crashed)
		if err := one.register(one.id()); err != nil {
			return err
		}
	}
	return nil
}

func (s *Frail) id() string {
	return fmt.Sprintf("%s-%d", s.name, s.start)
}

func (s *Frail) register(id string) error {
	return s.site.store.Put("servers/"+id, emul.Entry(s.site.Service, s.Address(), map[string]any{
		"zone": "hall-a", "slots": 12, "born": time.Now().UnixMilli(),
	}))
}

// crashed is called just before the server crashes, and has it started again later.
func (s *Frail) crashed() {
	if s.Crashed() {
		return
	}
	f := s.site
	f.mu.Lock()
	f.crashes = append(f.crashes, time.Now())
	n := len(f.crashes)
	old := s.id()
	s.start++
	next := s.id()
	f.mu.Unlock()
	f.record.Add("server %s crashes (crash %d)", old, n)
	time.AfterFunc(entryLife, func() { f.store.Delete("servers/" + old) })
	time.AfterFunc(downTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.stopped {
			return
		}
		if err := s.Start(next); err != nil {
			f.record.Add("server %s did not start: %v", next, err)
			return
		}
		_ = s.register(next)
		f.record.Add("server %s is up", next)
	})
}

// Crashes returns when servers crashed.
func (f *Frails) Crashes() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]time.Time(nil), f.crashes...)
}

// Close ends all servers.
func (f *Frails) Close() {
	f.mu.Lock()
	f.stopped = true
	f.mu.Unlock()
	for _, s := range f.List {
		s.Close()
	}
}
