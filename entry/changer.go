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
	pagePrefix  = "geraniumpass/audit/"
	changePause = 100 * time.Millisecond
)

// changer accepts operators' changes: one document, one compare-and-swap.
type changer struct {
	store  store.Store
	clock  clockwork.Clock
	config *config.Holder
}

func newChanger(st store.Store, clock clockwork.Clock, h *config.Holder) *changer {
	return &changer{
		store:  st,
		clock:  clock,
		config: h,
	}
}

// change applies a record made against revision base and returns the revision that it became once the service has confirmed it.
// It fails with a *config.ConflictError, *config.InvalidError, *config.UnsureError or *store.DownError.
func (c *changer) change(ctx context.Context, base uint64, r config.Record) (uint64, error) {
	v, err := c.store.Get(ctx, configKey)
	if err != nil {
		return 0, errs.Wrap(err)
	}
	doc, err := decode(v)
	if err != nil {
		return 0, err
	}
	if done, ok := find(doc, r.ID); ok {
		return done.Revision, sameChange(done, r)
	}
	if doc.Revision != base || doc.Revision < c.config.Document().Revision {
		return 0, conflict(base, doc)
	}
	r.Revision = base + 1
	r.At = c.clock.Now().UTC()
	next, err := config.Apply(doc, r)
	if err != nil {
		return 0, err
	}
	if next, err = c.page(ctx, next); err != nil {
		return 0, err
	}
	return c.swap(ctx, next, v.Modified, r.ID)
}

// swap writes the document; after a lost answer it reads back and repeats only the same conditional write, which can succeed once.
func (c *changer) swap(ctx context.Context, next *config.Document, modified int64, id string) (uint64, error) {
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
			return c.settle(lost.Current, next, id)
		}
		var maybe *store.UnknownOutcomeError
		unsure = unsure || errors.As(err, &maybe)
		if !unsure {
			return 0, err
		}
		select {
		case <-ctx.Done():
			return 0, &config.UnsureError{ID: id}
		case <-c.clock.After(changePause):
		}
	}
}

// settle finds out from what the service holds whether the change was accepted after all.
func (c *changer) settle(v store.Value, next *config.Document, id string) (uint64, error) {
	doc, err := decode(v)
	if err != nil {
		return 0, err
	}
	if done, ok := find(doc, id); ok {
		c.config.Offer(doc)
		return done.Revision, nil
	}
	if _, all := doc.Since(next.Revision - 1); !all {
		return 0, &config.UnsureError{ID: id}
	}
	return 0, conflict(next.Revision-1, doc)
}

// page moves the oldest records out of a long document into a page of their own, which is written first.
func (c *changer) page(ctx context.Context, doc *config.Document) (*config.Document, error) {
	short, old := config.Trim(doc)
	if len(old) == 0 {
		return doc, nil
	}
	data, err := json.Marshal(old)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	_, err = c.store.Swap(ctx, pageKey(old[0].Revision), data, 0, 0)
	var there *store.ConflictError
	if err != nil && !errors.As(err, &there) {
		return nil, err
	}
	return short, nil
}

// audit returns the records from revision first on, from pages where they have left the document.
func (c *changer) audit(ctx context.Context, first uint64) ([]config.Record, error) {
	doc := c.config.Document()
	records, ok := doc.Since(max(first, 1) - 1)
	if ok {
		return records, nil
	}
	var out []config.Record
	inDoc := doc.Revision - uint64(len(doc.Records)) + 1
	for start := pageStart(first); start < inDoc; start += config.PageRecords {
		v, err := c.store.Get(ctx, pageKey(start))
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

func pageStart(revision uint64) uint64 {
	return (max(revision, 1)-1)/config.PageRecords*config.PageRecords + 1
}

func pageKey(first uint64) string {
	return fmt.Sprintf("%s%012d", pagePrefix, first)
}

func decode(v store.Value) (*config.Document, error) {
	doc := &config.Document{}
	if v.Modified == 0 {
		return doc, nil
	}
	return doc, errs.Wrap(json.Unmarshal(v.Data, doc))
}

func find(doc *config.Document, id string) (config.Record, bool) {
	for _, r := range doc.Records {
		if r.ID == id {
			return r, true
		}
	}
	return config.Record{}, false
}

// sameChange accepts a repeat of an accepted change and refuses another change under its id.
func sameChange(done, again config.Record) error {
	a, errA := json.Marshal(done.Ops)
	b, errB := json.Marshal(again.Ops)
	if errA != nil || errB != nil || string(a) != string(b) || done.Who != again.Who {
		return &config.ConflictError{
			Base:    done.Revision - 1,
			Current: done.Revision,
			Others:  []config.Record{done},
		}
	}
	return nil
}

func conflict(base uint64, doc *config.Document) error {
	others, _ := doc.Since(base)
	return &config.ConflictError{
		Base:    base,
		Current: doc.Revision,
		Others:  others,
	}
}
