package base

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPageItems is the number of items of one page of a range read.
const maxPageItems = 500

// maxWatchWait is the longest time for which a watch is held.
const maxWatchWait = 30 * time.Second

// Item is a key of the store.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// event is a change in the history of a store.
type event struct {
	item Item
	at   time.Time
}

// Store is a linearizable key-value store with watches, as PROTOCOL.md describes the platform's. It
// keeps its history for HistoryS. Leases do not expire within a run.
type Store struct {
	// History is how long events are kept.
	History time.Duration

	mu        sync.Mutex
	items     map[string]Item
	events    []event
	revision  int64
	compacted int64
	leases    int64
	changed   chan struct{}
	server    *http.Server
	listener  net.Listener
}

// StartStore starts an empty store on a free port of the loopback interface.
func StartStore(history time.Duration) (*Store, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		History:  history,
		items:    make(map[string]Item),
		revision: 1,
		changed:  make(chan struct{}),
		listener: ln,
	}
	s.server = &http.Server{Handler: http.HandlerFunc(s.handle)}
	go func() { _ = s.server.Serve(ln) }()
	return s, nil
}

// Address returns the address of the store.
func (s *Store) Address() string {
	return s.listener.Addr().String()
}

// Close stops the store.
func (s *Store) Close() {
	_ = s.server.Close()
}

// Put writes a key as the operator and the servers do. Its return is the confirmation.
func (s *Store) Put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, b, 0)
}

// Delete removes a key as the platform does.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func (s *Store) write(key string, value []byte, lease int64) {
	s.revision++
	it := s.items[key]
	if it.Created == 0 {
		it.Created = s.revision
	}
	it.Key, it.Value, it.Revision, it.Lease = key, value, s.revision, lease
	s.items[key] = it
	s.record(it)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.record(Item{
		Key:      key,
		Revision: s.revision,
		Deleted:  true,
	})
}

func (s *Store) record(it Item) {
	now := time.Now()
	s.events = append(s.events, event{
		item: it,
		at:   now,
	})
	s.dropHistory(now)
	close(s.changed)
	s.changed = make(chan struct{})
}

// dropHistory drops the events that are older than the history that the store keeps.
func (s *Store) dropHistory(now time.Time) {
	for len(s.events) > 0 && now.Sub(s.events[0].at) > s.History {
		s.compacted = s.events[0].item.Revision
		s.events = s.events[1:]
	}
}

func (s *Store) handle(w http.ResponseWriter, r *http.Request) {
	switch path := r.URL.Path; {
	case path == "/geraniumpass/kv-key":
		s.handleKey(w, r)
	case path == "/geraniumpass/kv-range":
		s.handleRange(w, r)
	case path == "/geraniumpass/kv-watch":
		s.handleWatch(w, r)
	case path == "/geraniumpass/kv-txn":
		s.handleTransaction(w, r)
	case path == "/geraniumpass/kv-lease":
		s.handleLease(w, r)
	case strings.HasPrefix(path, "/geraniumpass/kv-keep/"), strings.HasPrefix(path, "/geraniumpass/kv-lease-end/"):
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client may have closed the connection.
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) handleKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	rev := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]int64{"currentRev": rev})
		return
	}
	reply(w, http.StatusOK, struct {
		Item
		Rev int64 `json:"currentRev"`
	}{
		Item: it,
		Rev:  rev,
	})
}

func (s *Store) handleRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []Item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	rev := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	truncated := len(items) > maxPageItems
	if truncated {
		items = items[:maxPageItems]
	}
	reply(w, http.StatusOK, map[string]any{
		"items":      items,
		"truncated":  truncated,
		"currentRev": rev,
	})
}

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		s.dropHistory(time.Now())
		gone := after < s.compacted || after > s.revision
		items := []Item{}
		for _, e := range s.events {
			if e.item.Revision > after && strings.HasPrefix(e.item.Key, prefix) {
				items = append(items, e.item)
			}
		}
		rev, changed := s.revision, s.changed
		s.mu.Unlock()
		if gone {
			reply(w, http.StatusGone, map[string]int64{"currentRev": rev})
			return
		}
		if len(items) > 0 || ended {
			reply(w, http.StatusOK, map[string]any{
				"events":     items,
				"currentRev": rev,
			})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			ended = true
		case <-changed:
		}
	}
}

// transaction is the body of a write call.
type transaction struct {
	Expect []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expect"`
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"writes"`
	Deletes []string `json:"deletes"`
}

func (s *Store) handleTransaction(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var t transaction
	if err != nil || json.Unmarshal(body, &t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []Item{}, true
	for _, e := range t.Expect {
		it, ok := s.items[e.Key]
		holds = holds && it.Revision == e.Revision
		if ok {
			current = append(current, it)
		}
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, e := range t.Writes {
		s.write(e.Key, e.Value, e.Lease)
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func (s *Store) handleLease(w http.ResponseWriter, r *http.Request) {
	var terms struct {
		TTLMs int64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(r.Body).Decode(&terms)
	s.mu.Lock()
	s.leases++
	id := s.leases
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]int64{
		"lease": id,
		"ttlMs": terms.TTLMs,
	})
}
