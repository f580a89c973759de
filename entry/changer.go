package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs/v2"

	"geraniumpass/config"
	"geraniumpass/store"
)

const (
	auditPrefix    = "geraniumpass/audit/"
	swapRetryDelay = 100 * time.Millisecond
)

// configWriter commits operators' changes to the configuration document by compare-and-swap.
type configWriter struct {
	store  store.Store
	clock  clockwork.Clock
	config *config.Holder
}

func newConfigWriter(st store.Store, clock clockwork.Clock, h *config.Holder) *configWriter {
	return &configWriter{
		store:  st,
		clock:  clock,
		config: h,
	}
}

// apply commits record r made against revision base and returns the new revision once the key-value
// service has confirmed it. It fails with a *config.ConflictError, *config.InvalidError,
// *config.UnconfirmedError or *store.DownError.
func (c *configWriter) apply(ctx context.Context, base uint64, r config.Record) (uint64, error) {
	v, err := c.store.Get(ctx, configKey)
	if err != nil {
		return 0, errs.Wrap(err)
	}
	doc, err := decodeDocument(v)
	if err != nil {
		return 0, err
	}
	if done, ok := findRecord(doc, r.ID); ok {
		return done.Revision, checkSameChange(done, r)
	}
	if doc.Revision != base || doc.Revision < c.config.Document().Revision {
		return 0, newConflictError(base, doc)
	}
	r.Revision = base + 1
	r.At = c.clock.Now().UTC()
	next, err := config.Apply(doc, r)
	if err != nil {
		return 0, err
	}
	if next, err = c.archiveRecords(ctx, next); err != nil {
		return 0, err
	}
	return c.swap(ctx, next, v.Modified, r.ID)
}

// swap writes the document. If the reply is lost it repeats the same conditional write, which can
// succeed only once.
func (c *configWriter) swap(ctx context.Context, next *config.Document, modified int64, id string) (uint64, error) {
	data, err := json.Marshal(next)
	if err != nil {
		return 0, errs.Wrap(err)
	}
	unsure := false
	for {
		_, err := c.store.Swap(ctx, configKey, data, modified, 0)
		if err == nil {
			c.config.Offer(next)
			return next.Revision, nil
		}
		var lost *store.ConflictError
		if errors.As(err, &lost) {
			return c.resolveConflict(lost.Current, next, id)
		}
		var maybe *store.UnknownOutcomeError
		unsure = unsure || errors.As(err, &maybe)
		if !unsure {
			return 0, err
		}
		select {
		case <-ctx.Done():
			return 0, &config.UnconfirmedError{ID: id}
		case <-c.clock.After(swapRetryDelay):
		}
	}
}

// resolveConflict determines from the stored document whether the change was committed after all.
func (c *configWriter) resolveConflict(v store.Value, next *config.Document, id string) (uint64, error) {
	doc, err := decodeDocument(v)
	if err != nil {
		return 0, err
	}
	if done, ok := findRecord(doc, id); ok {
		c.config.Offer(doc)
		return done.Revision, nil
	}
	if _, all := doc.Since(next.Revision - 1); !all {
		return 0, &config.UnconfirmedError{ID: id}
	}
	return 0, newConflictError(next.Revision-1, doc)
}

// archiveRecords moves the oldest records of a long document to an audit page, which is written
// before the shortened document.
func (c *configWriter) archiveRecords(ctx context.Context, doc *config.Document) (*config.Document, error) {
	trimmed, archived := config.Trim(doc)
	if len(archived) == 0 {
		return doc, nil
	}
	data, err := json.Marshal(archived)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	_, err = c.store.Swap(ctx, auditPageKey(archived[0].Revision), data, 0, 0)
	var exists *store.ConflictError
	if err != nil && !errors.As(err, &exists) {
		return nil, err
	}
	return trimmed, nil
}

// audit returns the records starting at revision first, reading audit pages for those no longer in
// the document.
func (c *configWriter) audit(ctx context.Context, first uint64) ([]config.Record, error) {
	doc := c.config.Document()
	records, ok := doc.Since(max(first, 1) - 1)
	if ok {
		return records, nil
	}
	var out []config.Record
	inDoc := doc.Revision - uint64(len(doc.Records)) + 1
	for start := auditPageStart(first); start < inDoc; start += config.AuditPageSize {
		v, err := c.store.Get(ctx, auditPageKey(start))
		if err != nil {
			return nil, errs.Wrap(err)
		}
		var page []config.Record
		if v.Modified != 0 {
			if err := json.Unmarshal(v.Data, &page); err != nil {
				return nil, errs.Wrap(err)
			}
		}
		for _, r := range page {
			if r.Revision >= first && r.Revision < inDoc {
				out = append(out, r)
			}
		}
	}
	return append(out, doc.Records...), nil
}

func auditPageStart(revision uint64) uint64 {
	return (max(revision, 1)-1)/config.AuditPageSize*config.AuditPageSize + 1
}

func auditPageKey(first uint64) string {
	return fmt.Sprintf("%s%012d", auditPrefix, first)
}

func decodeDocument(v store.Value) (*config.Document, error) {
	doc := &config.Document{}
	if v.Modified == 0 {
		return doc, nil
	}
	return doc, errs.Wrap(json.Unmarshal(v.Data, doc))
}

func findRecord(doc *config.Document, id string) (config.Record, bool) {
	for _, r := range doc.Records {
		if r.ID == id {
			return r, true
		}
	}
	return config.Record{}, false
}

// checkSameChange accepts a retry of a committed change and rejects a different change with the
// same ID.
func checkSameChange(done, repeated config.Record) error {
	a, errA := json.Marshal(done.Ops)
	b, errB := json.Marshal(repeated.Ops)
	if errA != nil || errB != nil || string(a) != string(b) || done.Who != repeated.Who {
		return &config.ConflictError{
			Base:    done.Revision - 1,
			Current: done.Revision,
			Others:  []config.Record{done},
		}
	}
	return nil
}

func newConflictError(base uint64, doc *config.Document) error {
	others, _ := doc.Since(base)
	return &config.ConflictError{
		Base:    base,
		Current: doc.Revision,
		Others:  others,
	}
}
