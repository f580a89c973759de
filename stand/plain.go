package stand

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// HeaderProbe is the request header with the probe ID by which executions of an operation are
// counted.
const HeaderProbe = "X-Probe-Id"

// Echo is the response body of the plain service.
type Echo struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Query  string `json:"query"`
	Body   string `json:"body"`
	Probe  string `json:"probe"`
	Runs   int    `json:"runs"`
}

// Plain is a plain service that counts executions by probe ID. The query parameter "ms" sets the
// duration of a call in milliseconds, and "lose" drops the response.
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

// SetLeaving sets whether the service's health response announces that it is leaving.
func (p *Plain) SetLeaving(leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = leaving
}

// Calls returns the number of calls that reached this instance.
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
		DropResponse(ctx)
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

// Bulk returns a body of the given size in bytes that depends on the probe ID.
func Bulk(probe string, size int) []byte {
	b := make([]byte, 0, size+16)
	for i := 0; len(b) < size; i++ {
		b = append(b, Token(probe, i)...)
	}
	return b[:size]
}

// Health is the response body of an upstream's health check.
type Health struct {
	Leaving bool `json:"leaving"`
}
