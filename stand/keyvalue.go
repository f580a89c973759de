package stand

import (
	"bufio"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"geraniumpass/store"
)

const leaseTick = 50 * time.Millisecond

// KeyValue is a key-value service with compare-and-swap, leases and watches in the form of etcd's JSON gateway.
type KeyValue struct {
	Server *Server

	mu       sync.Mutex
	fault    Fault
	revision int64
	keys     map[string]*store.KeyValue
	leases   map[int64]*lease
	watchers map[chan store.Event]string
	history  []store.Event

	reads  atomic.Int64
	writes atomic.Int64
	stop   chan struct{}
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// NewKeyValue returns a service for address.
func NewKeyValue(address string) *KeyValue {
	kv := &KeyValue{
		keys:     make(map[string]*store.KeyValue),
		leases:   make(map[int64]*lease),
		watchers: make(map[chan store.Event]string),
		stop:     make(chan struct{}),
	}
	kv.Server = NewServer(address, kv.handle)
	go kv.expire()
	return kv
}

// Close ends the service for good.
func (kv *KeyValue) Close() {
	close(kv.stop)
	kv.Server.Stop()
}

// SetFault changes how the service misbehaves.
func (kv *KeyValue) SetFault(f Fault) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.fault = f
	if f.Down {
		for ch := range kv.watchers {
			close(ch)
			delete(kv.watchers, ch)
		}
	}
}

// Calls returns how many reads, watches among them, and writes were made.
func (kv *KeyValue) Calls() (reads, writes int64) {
	return kv.reads.Load(), kv.writes.Load()
}

// Lookup returns a key's value, for tests.
func (kv *KeyValue) Lookup(key string) []byte {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	if k, ok := kv.keys[key]; ok {
		return k.Value
	}
	return nil
}

// EndLeases lets every lease lapse now that lasts at most longest, as if its holder had been paused for that long.
func (kv *KeyValue) EndLeases(longest time.Duration) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	for _, l := range kv.leases {
		if l.ttl <= longest {
			l.ends = time.Time{}
		}
	}
}

func (kv *KeyValue) expire() {
	t := time.NewTicker(leaseTick)
	defer t.Stop()
	for {
		select {
		case <-kv.stop:
			return
		case now := <-t.C:
			kv.mu.Lock()
			for id, l := range kv.leases {
				if l.ends.Before(now) {
					kv.endLease(id)
				}
			}
			kv.mu.Unlock()
		}
	}
}

func (kv *KeyValue) endLease(id int64) {
	delete(kv.leases, id)
	for name, k := range kv.keys {
		if k.Lease == id {
			kv.revision++
			delete(kv.keys, name)
			kv.emit(store.Event{
				Type: "DELETE",
				Kv: store.KeyValue{
					Key:         k.Key,
					ModRevision: kv.revision,
				},
			})
		}
	}
}

func (kv *KeyValue) emit(ev store.Event) {
	kv.history = append(kv.history, ev)
	if len(kv.history) > 1<<14 {
		kv.history = kv.history[len(kv.history)/2:]
	}
	for ch, key := range kv.watchers {
		if key != string(ev.Kv.Key) {
			continue
		}
		select {
		case ch <- ev:
		default:
			close(ch)
			delete(kv.watchers, ch)
		}
	}
}

func (kv *KeyValue) handle(ctx *fasthttp.RequestCtx) {
	kv.mu.Lock()
	f := kv.fault
	kv.mu.Unlock()
	if f.Delay > 0 {
		time.Sleep(time.Duration(f.Delay) * time.Millisecond)
	}
	if f.Down {
		ctx.Error("unavailable", fasthttp.StatusServiceUnavailable)
		return
	}
	path := string(ctx.Path())
	if path == store.PathRange || path == store.PathWatch {
		kv.reads.Add(1)
	} else {
		kv.writes.Add(1)
	}
	switch path {
	case store.PathRange:
		kv.rangeKey(ctx)
	case store.PathTxn:
		kv.txn(ctx)
	case store.PathGrant:
		kv.grant(ctx)
	case store.PathKeep:
		kv.keep(ctx)
	case store.PathRevoke:
		kv.revoke(ctx)
	case store.PathWatch:
		kv.watch(ctx)
	default:
		ctx.NotFound()
	}
	if path != store.PathRange && path != store.PathWatch && kv.loses() {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(closeConn)
	}
}

func (kv *KeyValue) loses() bool {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	if kv.fault.LoseNext > 0 {
		kv.fault.LoseNext--
		return true
	}
	return kv.fault.LoseAnswers
}

func (kv *KeyValue) rangeKey(ctx *fasthttp.RequestCtx) {
	var req store.RangeRequest
	if !read(ctx, &req) {
		return
	}
	kv.mu.Lock()
	resp := kv.lookup(req.Key)
	kv.mu.Unlock()
	if req.KeysOnly && len(resp.Kvs) > 0 {
		resp.Kvs[0].Value = nil
	}
	write(ctx, resp)
}

func (kv *KeyValue) lookup(key []byte) store.RangeResponse {
	resp := store.RangeResponse{Header: store.ResponseHeader{Revision: kv.revision}}
	if k, ok := kv.keys[string(key)]; ok {
		resp.Kvs = []store.KeyValue{*k}
	}
	return resp
}

func (kv *KeyValue) txn(ctx *fasthttp.RequestCtx) {
	var req store.TxnRequest
	if !read(ctx, &req) {
		return
	}
	kv.mu.Lock()
	defer kv.mu.Unlock()
	ok := true
	for _, c := range req.Compare {
		var have int64
		if k, found := kv.keys[string(c.Key)]; found {
			have = k.ModRevision
		}
		ok = ok && have == c.ModRevision
	}
	resp := store.TxnResponse{Succeeded: ok}
	ops := req.Failure
	if ok {
		ops = req.Success
	}
	for _, op := range ops {
		if op.RequestPut != nil {
			if !kv.put(op.RequestPut) {
				ctx.Error("requested lease not found", fasthttp.StatusNotFound)
				return
			}
		}
		if op.RequestRange != nil {
			r := kv.lookup(op.RequestRange.Key)
			resp.Responses = append(resp.Responses, store.ResponseOp{ResponseRange: &r})
		}
	}
	resp.Header.Revision = kv.revision
	write(ctx, resp)
}

func (kv *KeyValue) put(p *store.PutRequest) bool {
	if p.Lease != 0 && kv.leases[p.Lease] == nil {
		return false
	}
	kv.revision++
	k, ok := kv.keys[string(p.Key)]
	if !ok {
		k = &store.KeyValue{
			Key:            p.Key,
			CreateRevision: kv.revision,
		}
		kv.keys[string(p.Key)] = k
	}
	k.Value = p.Value
	k.ModRevision = kv.revision
	k.Lease = p.Lease
	kv.emit(store.Event{Kv: *k})
	return true
}

func (kv *KeyValue) grant(ctx *fasthttp.RequestCtx) {
	var req store.LeaseRequest
	if !read(ctx, &req) {
		return
	}
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.revision++
	ttl := time.Duration(req.TTL) * time.Second
	kv.leases[kv.revision] = &lease{
		ttl:  ttl,
		ends: time.Now().Add(ttl),
	}
	write(ctx, store.LeaseResponse{
		ID:  kv.revision,
		TTL: req.TTL,
	})
}

func (kv *KeyValue) keep(ctx *fasthttp.RequestCtx) {
	var req store.LeaseRequest
	if !read(ctx, &req) {
		return
	}
	kv.mu.Lock()
	defer kv.mu.Unlock()
	var resp store.KeepResponse
	resp.Result.ID = req.ID
	if l, ok := kv.leases[req.ID]; ok {
		l.ends = time.Now().Add(l.ttl)
		resp.Result.TTL = int64(l.ttl / time.Second)
	}
	write(ctx, resp)
}

func (kv *KeyValue) revoke(ctx *fasthttp.RequestCtx) {
	var req store.LeaseRequest
	if !read(ctx, &req) {
		return
	}
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.endLease(req.ID)
	write(ctx, store.LeaseResponse{ID: req.ID})
}

func (kv *KeyValue) watch(ctx *fasthttp.RequestCtx) {
	var req store.WatchRequest
	if !read(ctx, &req) {
		return
	}
	ch := make(chan store.Event, 1024)
	kv.mu.Lock()
	for _, ev := range kv.history {
		if string(ev.Kv.Key) == string(req.CreateRequest.Key) && ev.Kv.ModRevision >= req.CreateRequest.StartRevision && len(ch) < cap(ch) {
			ch <- ev
		}
	}
	kv.watchers[ch] = string(req.CreateRequest.Key)
	kv.mu.Unlock()
	ctx.SetContentType("application/json")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer kv.unwatch(ch)
		kv.stream(w, ch)
	})
}

func (kv *KeyValue) unwatch(ch chan store.Event) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	delete(kv.watchers, ch)
}

func (kv *KeyValue) stream(w *bufio.Writer, ch chan store.Event) {
	e := json.NewEncoder(w)
	if e.Encode(store.WatchResponse{}) != nil || w.Flush() != nil {
		return
	}
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		var out store.WatchResponse
		select {
		case <-kv.stop:
			return
		case <-t.C:
		case ev, ok := <-ch:
			if !ok {
				return
			}
			out.Result.Events = []store.Event{ev}
		}
		if e.Encode(out) != nil || w.Flush() != nil {
			return
		}
	}
}
