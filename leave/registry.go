package leave

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/core"
)

const (
	// retention is how long an incarnation is remembered. It is far longer than a leaving instance
	// keeps running, because the instance's list entry may vanish and come back in the meantime.
	retention = 10 * time.Minute
	// maxRecords limits the number of remembered incarnations.
	maxRecords = 4096
)

// Registry holds the incarnations that announced that they leave. It is safe for concurrent use.
type Registry struct {
	clock clockwork.Clock
	log   hclog.Logger

	mu      sync.Mutex
	records map[core.Start]record
	seq     int64
	// changed is closed and replaced when an incarnation is added.
	changed chan struct{}
}

// record holds when an incarnation was added, and its sequence number.
type record struct {
	addedAt time.Time
	seq     int64
}

// New returns an empty registry.
func New(clock clockwork.Clock, log hclog.Logger) *Registry {
	return &Registry{
		clock:   clock,
		log:     log,
		records: make(map[core.Start]record),
		changed: make(chan struct{}),
	}
}

// Record adds an instance that announced that it leaves in the answer to the request with the given
// ID.
func (r *Registry) Record(start core.Start, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.add(start) {
		r.log.Info("instance announced that it is leaving", "instance", start.ID, "born", start.StartedAt, "id", id)
	}
}

// Merge adds the incarnations that another entry reported as leaving.
func (r *Registry) Merge(starts []core.Start) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, start := range starts {
		if r.add(start) {
			r.log.Info("another entry reported that the instance is leaving", "instance", start.ID, "born", start.StartedAt)
		}
	}
}

// add adds an incarnation and reports whether it was unknown before.
func (r *Registry) add(start core.Start) bool {
	if _, known := r.records[start]; known {
		return false
	}
	if len(r.records) >= maxRecords {
		r.evictOldest()
	}
	r.seq++
	r.records[start] = record{
		addedAt: r.clock.Now(),
		seq:     r.seq,
	}
	close(r.changed)
	r.changed = make(chan struct{})
	return true
}

// IsLeaving reports whether an incarnation is leaving and must get no more requests.
func (r *Registry) IsLeaving(start core.Start) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.records[start]
	return known
}

// Since returns the incarnations with a sequence number above after, all if zero, and the sequence
// number to pass to the next call.
func (r *Registry) Since(after int64) ([]core.Start, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []core.Start
	for start, rec := range r.records {
		if rec.seq > after {
			out = append(out, start)
		}
	}
	return out, r.seq
}

// Changed returns a channel that is closed when the next incarnation is added.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Sweep evicts records older than the retention.
func (r *Registry) Sweep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for start, rec := range r.records {
		if now.Sub(rec.addedAt) > retention {
			delete(r.records, start)
		}
	}
}

func (r *Registry) evictOldest() {
	var oldest core.Start
	lowest := r.seq + 1
	for start, rec := range r.records {
		if rec.seq < lowest {
			oldest, lowest = start, rec.seq
		}
	}
	delete(r.records, oldest)
}
