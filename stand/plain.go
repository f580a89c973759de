package stand

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// HeaderProbe names the header by which a test's caller marks an operation, so that its runs can be counted.
const HeaderProbe = "X-Probe-Id"

// Echo is what the plain service answers.
type Echo struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Query  string `json:"query"`
	Body   string `json:"body"`
	Probe  string `json:"probe"`
	Runs   int    `json:"runs"`
}

// Plain is a plain service that counts runs by probe; "ms" in the query is how long a call takes and "lose" loses its answer.
type Plain struct {
	Server *Server
	Runs   *Counter

	calls   atomic.Int64
	mu      sync.Mutex
	leaving bool
}

// NewPlain returns a service for address.
func NewPlain(address string, runs *Counter) *Plain {
	p := &Plain{Runs: runs}
	p.Server = NewServer(address, p.handle)
	return p
}

// SetLeaving makes the service say of itself that it leaves.
func (p *Plain) SetLeaving(leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = leaving
}

// Calls returns how many calls were put to this instance.
func (p *Plain) Calls() int64 {
	return p.calls.Load()
}

func (p *Plain) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/health" {
		p.mu.Lock()
		defer p.mu.Unlock()
		WriteJSON(ctx, Health{Leaving: p.leaving})
		return
	}
	p.calls.Add(1)
	probe := string(ctx.Request.Header.Peek(HeaderProbe))
	n := p.Runs.Add(probe)
	args := ctx.QueryArgs()
	if ms := args.GetUintOrZero("ms"); ms > 0 {
		time.Sleep(time.Duration(ms) * time.Millisecond)
	}
	if args.Has("lose") {
		LoseAnswer(ctx)
		return
	}
	if status := args.GetUintOrZero("status"); status > 0 {
		ctx.SetStatusCode(status)
	}
	ctx.Response.Header.Set("X-Echo", probe)
	WriteJSON(ctx, Echo{
		Method: string(ctx.Method()),
		Path:   string(ctx.Path()),
		Query:  string(args.QueryString()),
		Body:   string(ctx.PostBody()),
		Probe:  probe,
		Runs:   n,
	})
	if size := args.GetUintOrZero("size"); size > 0 {
		ctx.SetContentType("application/octet-stream")
		ctx.SetBody(Bulk(probe, size))
	}
}

// Bulk returns a body of the given size that depends on the probe.
func Bulk(probe string, size int) []byte {
	b := make([]byte, 0, size+16)
	for i := 0; len(b) < size; i++ {
		b = append(b, Token(probe, i)...)
	}
	return b[:size]
}

// Health is an upstream's word on itself.
type Health struct {
	Leaving bool `json:"leaving"`
}
