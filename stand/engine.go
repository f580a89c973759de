package stand

import (
	"bufio"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"geraniumpass/core"
)

// HeaderResume is the request header with the number of stream tokens already delivered; the
// response repeats it if the engine resumes there.
const HeaderResume = "X-Resume-From"

// Beyond maxFullSpeedStreams concurrent streams the step time grows in proportion to their number.
const maxFullSpeedStreams = 16

// Engine emulates a model engine. Its tokens depend only on the prompt, so that a caller can verify
// every byte.
type Engine struct {
	Server *Server
	Runs   *Counter

	model     string
	stepTime  time.Duration
	running   atomic.Int64
	generated atomic.Int64
	rank      *Rank
	done      chan struct{}

	mu        sync.Mutex
	leaving   bool
	stalled   bool
	cancelled map[string]time.Time
}

// NewEngine returns an engine for address that generates one token per stepTime while at most
// maxFullSpeedStreams streams run.
func NewEngine(address, model string, stepTime time.Duration, runs *Counter) *Engine {
	e := &Engine{
		Runs:      runs,
		model:     model,
		stepTime:  stepTime,
		done:      make(chan struct{}),
		cancelled: make(map[string]time.Time),
	}
	e.Server = NewServer(address, e.handle)
	return e
}

// Close stops the engine permanently.
func (e *Engine) Close() {
	close(e.done)
	e.Server.Stop()
}

// SetRank makes the engine a rank of a group.
func (e *Engine) SetRank(r *Rank) {
	e.rank = r
}

// SetLeaving sets whether the engine's health response announces that it is leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// SetStalled sets whether the engine's streams stall; it still answers all other requests.
func (e *Engine) SetStalled(stalled bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stalled = stalled
}

// Running returns the number of streams in progress.
func (e *Engine) Running() int64 {
	return e.running.Load()
}

// Generated returns the number of tokens generated so far.
func (e *Engine) Generated() int64 {
	return e.generated.Load()
}

type completion struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt"`
	Messages  []core.Prompt `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

func (c *completion) prompt() string {
	if len(c.Messages) > 0 {
		return c.Messages[len(c.Messages)-1].Content
	}
	return c.Prompt
}

type cancelRequest struct {
	ID string `json:"id"`
}

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/health":
		e.mu.Lock()
		defer e.mu.Unlock()
		WriteJSON(ctx, Health{Leaving: e.leaving})
	case "/v1/cancel":
		var req cancelRequest
		if ReadJSON(ctx, &req) {
			e.mu.Lock()
			e.cancelled[req.ID] = time.Now()
			e.mu.Unlock()
		}
	case "/rank":
		e.handleRank(ctx)
	case "/v1/completions", "/v1/chat/completions":
		e.complete(ctx)
	default:
		ctx.NotFound()
	}
}

func (e *Engine) complete(ctx *fasthttp.RequestCtx) {
	var req completion
	if !ReadJSON(ctx, &req) {
		return
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = 16
	}
	e.Runs.Add(string(ctx.Request.Header.Peek(HeaderProbe)))
	id := string(ctx.Request.Header.Peek("X-Request-Id"))
	from, _ := strconv.Atoi(string(ctx.Request.Header.Peek(HeaderResume)))
	chat := string(ctx.Path()) == "/v1/chat/completions"
	if !req.Stream {
		e.running.Add(1)
		defer e.running.Add(-1)
		for range req.MaxTokens {
			if !e.step(id) {
				ctx.Error("cancelled", fasthttp.StatusServiceUnavailable)
				return
			}
		}
		WriteJSON(ctx, fullCompletion(id, req, chat))
		return
	}
	ctx.SetContentType("text/event-stream")
	if from > 0 {
		ctx.Response.Header.Set(HeaderResume, strconv.Itoa(from))
	}
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		e.running.Add(1)
		defer e.running.Add(-1)
		e.stream(w, id, req, from, chat)
	})
}

func (e *Engine) stream(w *bufio.Writer, id string, req completion, from int, chat bool) {
	for i := from; i < req.MaxTokens; i++ {
		if !e.step(id) {
			return
		}
		b, _ := json.Marshal(chunk(id, req, Token(req.prompt(), i), chat))
		_, _ = fmt.Fprintf(w, "data: %s\n\n", b)
		if w.Flush() != nil {
			return
		}
	}
	_, _ = w.WriteString("data: [DONE]\n\n")
	_ = w.Flush()
}

// step waits for one step time and reports whether the stream may continue, that is, it was not
// cancelled and the engine not closed.
func (e *Engine) step(id string) bool {
	d := e.stepTime
	if n := e.running.Load(); n > maxFullSpeedStreams {
		d = d * time.Duration(n) / maxFullSpeedStreams
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-e.done:
		return false
	}
	e.generated.Add(1)
	return e.waitWhileStalled(id)
}

// waitWhileStalled blocks while the engine is stalled and reports whether the stream may continue,
// that is, it was not cancelled and the engine not closed.
func (e *Engine) waitWhileStalled(id string) bool {
	for {
		e.mu.Lock()
		_, gone := e.cancelled[id]
		stalled := e.stalled
		e.mu.Unlock()
		if gone || !stalled {
			return !gone
		}
		select {
		case <-e.done:
			return false
		case <-time.After(e.stepTime):
		}
	}
}
