package config

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"geraniumpass/check"
)

// maxRecords is the maximum number of records in a document.
const maxRecords = 256

// AuditPageSize is the number of records in a page of the audit trail.
const AuditPageSize = 128

// Holder holds the newest document that a process has seen. Its revision never decreases.
type Holder struct {
	clock clockwork.Clock

	mu        sync.RWMutex
	doc       *Document
	confirmed time.Time
	changed   chan struct{}
}

// NewHolder returns a holder of the empty document at revision zero.
func NewHolder(clock clockwork.Clock) *Holder {
	return &Holder{
		clock:   clock,
		doc:     &Document{},
		changed: make(chan struct{}),
	}
}

// Document returns the newest document. Documents are never modified in place.
func (h *Holder) Document() *Document {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.doc
}

// Offer stores doc if it is newer than the held document and reports whether it was.
func (h *Holder) Offer(doc *Document) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if doc.Revision == h.doc.Revision {
		check.Assert(check.ConfigMonotonic, lastChangeID(doc) == lastChangeID(h.doc), "revision %d holds change %q and also %q", doc.Revision, lastChangeID(h.doc), lastChangeID(doc))
	}
	if doc.Revision <= h.doc.Revision {
		return false
	}
	h.doc = doc
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// OfferRecords applies the records that follow the held revision. It fails with a *GapError on a
// gap in the revisions; on any error the held document is unchanged.
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

// Confirm records that the key-value service has just confirmed the held revision as the newest.
func (h *Holder) Confirm() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirmed = h.clock.Now()
}

// Age returns the time since the held revision was last confirmed as the newest, or a negative
// duration if it never was.
func (h *Holder) Age() time.Duration {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.confirmed.IsZero() {
		return -1
	}
	return h.clock.Now().Sub(h.confirmed)
}

// Changed returns a channel that is closed when a newer document is stored.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.changed
}

// Since returns the records after a revision, and reports whether the document still contains all
// of them.
func (h *Holder) Since(revision uint64) ([]Record, bool) {
	return h.Document().Since(revision)
}

// Since returns the records after a revision, and reports whether the document still contains all
// of them.
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

// Trim splits the oldest page of records off a document that has too many. Records are removed in
// whole pages, so that every process removes the same ones.
func Trim(d *Document) (trimmed *Document, page []Record) {
	if len(d.Records) <= maxRecords {
		return d, nil
	}
	c := *d
	c.Records = d.Records[AuditPageSize:]
	return &c, d.Records[:AuditPageSize]
}

func lastChangeID(d *Document) string {
	if len(d.Records) == 0 {
		return ""
	}
	return d.Records[len(d.Records)-1].ID
}
