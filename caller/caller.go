package caller

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs/v2"

	"geraniumpass/core"
	"geraniumpass/entry"
	"geraniumpass/stand"
)

// Verdict is what became of a request, from the caller's side.
type Verdict string

// The verdicts; the last three must never be seen.
const (
	Whole   Verdict = "whole"
	NotRun  Verdict = "not_run"
	Unknown Verdict = "unknown"
	Refused Verdict = "refused"
	Lost    Verdict = "lost"
	Cut     Verdict = "cut"
	Wrong   Verdict = "wrong"
)

// Result is one request's end.
type Result struct {
	Verdict Verdict
	Status  int
	Detail  string
	First   time.Duration
	Took    time.Duration
	After   string
	Echo    stand.Echo
	Problem entry.Problem
}

// Caller sends requests to one entry with one account's key.
type Caller struct {
	Entry   string
	Key     string
	Timeout time.Duration
	Label   string
}

const defaultTimeout = 30 * time.Second

var (
	whole = &fasthttp.Client{
		MaxConnsPerHost: 4096,
		RetryIfErr:      func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		// A connection that the other side is about to close must not be reused.
		MaxIdleConnDuration: 500 * time.Millisecond,
	}
	stream = &fasthttp.Client{
		MaxConnsPerHost:     4096,
		RetryIfErr:          func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxIdleConnDuration: 500 * time.Millisecond,
		StreamResponseBody:  true,
	}
)

// Completion asks a model for n tokens and compares every one.
func (c *Caller) Completion(model, prompt string, n int, streamed bool, probe string) Result {
	body, err := json.Marshal(map[string]any{
		"model":      model,
		"prompt":     prompt,
		"max_tokens": n,
		"stream":     streamed,
	})
	if err != nil {
		return Result{Verdict: Wrong, Detail: err.Error()}
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.fill(req, fasthttp.MethodPost, "/v1/completions", body, probe)
	started := time.Now()
	client := whole
	if streamed {
		client = stream
	}
	if err := client.DoTimeout(req, resp, c.timeout()); err != nil {
		return c.failed(err, started)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return problem(resp, started)
	}
	if streamed {
		return readStream(resp, prompt, n, started)
	}
	var out stand.Completion
	if err := json.Unmarshal(resp.Body(), &out); err != nil || len(out.Choices) != 1 {
		return Result{Verdict: Cut, Detail: fmt.Sprint("not a completion: ", err), Took: time.Since(started)}
	}
	r := Result{
		Verdict: Whole,
		Status:  resp.StatusCode(),
		First:   time.Since(started),
		Took:    time.Since(started),
	}
	if out.Choices[0].Text != stand.Text(prompt, n) {
		r.Verdict = Wrong
		r.Detail = "the text is of another prompt or not whole"
	}
	return r
}

// Plain calls a plain service and compares what it echoes.
func (c *Caller) Plain(method, service, path string, body []byte, probe, key string) Result {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.fill(req, method, "/services/"+service+path, body, probe)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	started := time.Now()
	if err := whole.DoTimeout(req, resp, c.timeout()); err != nil {
		return c.failed(err, started)
	}
	if bytes.HasPrefix(resp.Header.ContentType(), []byte("application/problem+json")) {
		return problem(resp, started)
	}
	r := Result{
		Verdict: Whole,
		Status:  resp.StatusCode(),
		Took:    time.Since(started),
	}
	if bytes.Equal(resp.Header.ContentType(), []byte("application/octet-stream")) {
		if !bytes.Equal(resp.Body(), stand.Bulk(probe, len(resp.Body()))) {
			r.Verdict = Wrong
		}
		return r
	}
	if err := json.Unmarshal(resp.Body(), &r.Echo); err != nil {
		r.Verdict = Cut
		r.Detail = err.Error()
		return r
	}
	wantPath, _, _ := strings.Cut(path, "?")
	if r.Echo.Probe != probe || r.Echo.Method != method || r.Echo.Path != wantPath || r.Echo.Body != string(body) {
		r.Verdict = Wrong
		r.Detail = fmt.Sprintf("sent %s %s %q, echoed %+v", method, path, body, r.Echo)
	}
	return r
}

func (c *Caller) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return defaultTimeout
}

func (c *Caller) fill(req *fasthttp.Request, method, path string, body []byte, probe string) {
	req.SetRequestURI("http://" + c.Entry + path)
	req.URI().DisablePathNormalizing = true
	req.Header.SetMethod(method)
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set(stand.HeaderProbe, probe)
	req.Header.Set("X-Request-Timeout", fmt.Sprint(c.timeout().Seconds()-1))
	if c.Label != "" {
		req.Header.Set("X-Work-Class", c.Label)
	}
	if len(body) > 0 {
		req.Header.SetContentType("application/json")
		req.SetBody(body)
	}
}

func (c *Caller) failed(err error, started time.Time) Result {
	r := Result{
		Verdict: Lost,
		Detail:  err.Error(),
		Took:    time.Since(started),
	}
	// A refused connection reached nobody: the platform's balancer would have tried the next entry.
	if strings.Contains(err.Error(), "connection refused") {
		r.Verdict = Refused
	}
	return r
}

func problem(resp *fasthttp.Response, started time.Time) Result {
	r := Result{
		Verdict: Wrong,
		Status:  resp.StatusCode(),
		Took:    time.Since(started),
		After:   string(resp.Header.Peek("Retry-After")),
	}
	if err := json.Unmarshal(resp.Body(), &r.Problem); err != nil {
		r.Detail = fmt.Sprintf("status %d without a problem document: %s", resp.StatusCode(), resp.Body())
		return r
	}
	r.Detail = r.Problem.Title + ": " + r.Problem.Detail
	switch r.Problem.Outcome {
	case core.OutcomeNotRun:
		r.Verdict = NotRun
	case core.OutcomeUnknown:
		r.Verdict = Unknown
	}
	return r
}

func readStream(resp *fasthttp.Response, prompt string, n int, started time.Time) Result {
	r := Result{
		Verdict: Whole,
		Status:  resp.StatusCode(),
	}
	lines := bufio.NewReader(resp.BodyStream())
	got := 0
	for {
		line, err := lines.ReadString('\n')
		r.Took = time.Since(started)
		if err != nil {
			r.Verdict = Cut
			if !errors.Is(err, io.EOF) {
				r.Detail = err.Error()
			}
			return r
		}
		if strings.HasPrefix(line, "event: error") {
			return streamProblem(lines, r)
		}
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			break
		}
		if got == 0 {
			r.First = time.Since(started)
		}
		if err := matchToken(data, prompt, got); err != nil {
			r.Verdict = Wrong
			r.Detail = err.Error()
			return r
		}
		got++
	}
	if got != n {
		r.Verdict = Wrong
		r.Detail = fmt.Sprintf("%d tokens instead of %d", got, n)
	}
	return r
}

func matchToken(data, prompt string, i int) error {
	var ev stand.Completion
	if err := json.Unmarshal([]byte(data), &ev); err != nil || len(ev.Choices) != 1 {
		return errs.Errorf("event %d is not a completion: %s", i, data)
	}
	if want := stand.Token(prompt, i); ev.Choices[0].Text != want {
		return errs.Errorf("token %d is %q instead of %q", i, ev.Choices[0].Text, want)
	}
	return nil
}

func streamProblem(lines *bufio.Reader, r Result) Result {
	line, _ := lines.ReadString('\n')
	data, _ := strings.CutPrefix(strings.TrimSpace(line), "data: ")
	r.Verdict = Cut
	if json.Unmarshal([]byte(data), &r.Problem) == nil && r.Problem.Outcome == core.OutcomeUnknown {
		r.Verdict = Unknown
	}
	r.Detail = data
	return r
}
