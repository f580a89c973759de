package config

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"geraniumpass/check"
)

// keepRecords is the most records that a document carries.
const keepRecords = 256

// PageRecords is the number of records in a page of the audit trail.
const PageRecords = 128

// Holder keeps the newest document that a process has seen; its revision never goes down.
type Holder struct {
	clock clockwork.Clock

	mu        sync.RWMutex
	doc       *Document
	confirmed time.Time
	changed   chan struct{}
}

// NewHolder returns a holder of the empty document of revision zero.
func NewHolder(clock clockwork.Clock) *Holder {
	return &Holder{
		clock:   clock,
		doc:     &Document{},
		changed: make(chan struct{}),
	}
}

// Document returns the newest document, which is never changed in place.
func (h *Holder) Document() *Document {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.doc
}

// Offer takes a document from any source and returns true when it is newer than the one held.
func (h *Holder) Offer(doc *Document) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if doc.Revision == h.doc.Revision {
		check.Assert(check.ConfigMonotonic, lastID(doc) == lastID(h.doc), "revision %d holds change %q and also %q", doc.Revision, lastID(h.doc), lastID(doc))
	}
	if doc.Revision <= h.doc.Revision {
		return false
	}
	h.doc = doc
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// OfferRecords applies the records that follow the held revision; a gap fails with a *GapError and changes nothing.
func (h *Holder) OfferRecords(records []Record) error {
	doc := h.Document()
	for _, r := range records {
		if r.Revision <= doc.Revision {
			continue
		}
		next, err := Apply(doc, r)
		if err != nil {
			return err
		}
		doc, _ = Trim(next)
	}
	h.Offer(doc)
	return nil
}

// Confirm notes that the key-value service has just said that the held revision is the newest.
func (h *Holder) Confirm() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirmed = h.clock.Now()
}

// Age returns how long ago the held revision was last known to be the newest; it is negative when it never was.
func (h *Holder) Age() time.Duration {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.confirmed.IsZero() {
		return -1
	}
	return h.clock.Now().Sub(h.confirmed)
}

// Changed returns a channel that is closed when a newer document is held.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.changed
}

// Since returns the records after a revision, and false when some of them are no longer in the document.
func (h *Holder) Since(revision uint64) ([]Record, bool) {
	return h.Document().Since(revision)
}

// Since returns the records after a revision, and false when some of them are no longer in the document.
func (d *Document) Since(revision uint64) ([]Record, bool) {
	if revision >= d.Revision {
		return nil, true
	}
	first := d.Revision - uint64(len(d.Records))
	if revision < first {
		return nil, false
	}
	return d.Records[revision-first:], true
}

// Trim splits off the records that a document has no room for: the same ones in every process, since they leave in whole pages.
func Trim(d *Document) (short *Document, page []Record) {
	if len(d.Records) <= keepRecords {
		return d, nil
	}
	c := *d
	c.Records = d.Records[PageRecords:]
	return &c, d.Records[:PageRecords]
}

func lastID(d *Document) string {
	if len(d.Records) == 0 {
		return ""
	}
	return d.Records[len(d.Records)-1].ID
}
