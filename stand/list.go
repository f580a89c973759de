package stand

import (
	"sync"

	"github.com/valyala/fasthttp"

	"geraniumpass/core"
)

// List emulates the platform's instance list; GET /instances returns its rows.
type List struct {
	Server *Server

	mu        sync.Mutex
	rows      []core.Instance
	staleRows []core.Instance
	fault     Fault
}

// NewList returns a list with the given rows for address.
func NewList(address string, rows []core.Instance) *List {
	l := &List{rows: rows}
	l.Server = NewServer(address, l.handle)
	return l
}

// SetFault sets the fault to inject.
func (l *List) SetFault(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f.Stale && !l.fault.Stale {
		l.staleRows = append([]core.Instance{}, l.rows...)
	}
	l.fault = f
}

// SetLeaving sets whether an instance is marked as leaving.
func (l *List) SetLeaving(id string, leaving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.rows {
		if l.rows[i].ID == id {
			l.rows[i].Leaving = leaving
		}
	}
}

// Add appends an instance to the list.
func (l *List) Add(row core.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rows = append(l.rows, row)
}

func (l *List) handle(ctx *fasthttp.RequestCtx) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.fault.Down:
		ctx.Error("unavailable", fasthttp.StatusServiceUnavailable)
	case l.fault.Stale:
		WriteJSON(ctx, l.staleRows)
	default:
		WriteJSON(ctx, l.rows)
	}
}
