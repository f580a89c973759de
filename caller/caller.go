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
	"geraniumpass/head"
	"geraniumpass/stand"
)

// Verdict is the outcome of a request as the caller sees it.
type Verdict string

// The verdicts. Lost, Cut and Wrong are violations.
const (
	Whole   Verdict = "whole"
	NotRun  Verdict = "not_run"
	Unknown Verdict = "unknown"
	Refused Verdict = "refused"
	Lost    Verdict = "lost"
	Cut     Verdict = "cut"
	Wrong   Verdict = "wrong"
)

// Result is the outcome of one request.
type Result struct {
	Verdict Verdict
	Status  int
	Detail  string
	// First is the time to the first token, Took the total time.
	First      time.Duration
	Took       time.Duration
	RetryAfter string
	Echo       stand.Echo
	Problem    entry.Problem
}

// Caller sends requests to one entry with the API key of one account.
type Caller struct {
	Entry   string
	Key     string
	Timeout time.Duration
	Label   string
}

const defaultTimeout = 30 * time.Second

var (
	bufferedClient = &fasthttp.Client{
		DialTimeout:     head.DialTimeout,
		ConfigureClient: head.HideContents,
		MaxConnsPerHost: 4096,
		RetryIfErr:      func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		// The limit avoids reusing a connection that the entry is about to close.
		MaxIdleConnDuration: 500 * time.Millisecond,
	}
	streamingClient = &fasthttp.Client{
		DialTimeout:         head.DialTimeout,
		ConfigureClient:     head.HideContents,
		MaxConnsPerHost:     4096,
		RetryIfErr:          func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxIdleConnDuration: 500 * time.Millisecond,
		StreamResponseBody:  true,
	}
)

// Completion requests n tokens from a model and verifies every one.
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
	c.prepare(req, fasthttp.MethodPost, "/v1/completions", body, probe)
	started := time.Now()
	client := bufferedClient
	if streamed {
		client = streamingClient
	}
	if err := client.DoTimeout(req, resp, c.timeout()); err != nil {
		return c.transportFailure(err, started)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return problemResult(resp, started)
	}
	if streamed {
		return readStream(resp, prompt, n, started)
	}
	var out stand.Completion
	if err := json.Unmarshal(resp.Body(), &out); err != nil || len(out.Choices) != 1 {
		return Result{Verdict: Cut, Detail: fmt.Sprint("response is not a completion: ", err), Took: time.Since(started)}
	}
	r := Result{
		Verdict: Whole,
		Status:  resp.StatusCode(),
		First:   time.Since(started),
		Took:    time.Since(started),
	}
	if out.Choices[0].Text != stand.Text(prompt, n) {
		r.Verdict = Wrong
		r.Detail = "text is incomplete or belongs to another prompt"
	}
	return r
}

// Plain calls a plain service and verifies the echo.
func (c *Caller) Plain(method, service, path string, body []byte, probe, key string) Result {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.prepare(req, method, "/services/"+service+path, body, probe)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	started := time.Now()
	if err := bufferedClient.DoTimeout(req, resp, c.timeout()); err != nil {
		return c.transportFailure(err, started)
	}
	if bytes.HasPrefix(resp.Header.ContentType(), []byte("application/problem+json")) {
		return problemResult(resp, started)
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

func (c *Caller) prepare(req *fasthttp.Request, method, path string, body []byte, probe string) {
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

func (c *Caller) transportFailure(err error, started time.Time) Result {
	r := Result{
		Verdict: Lost,
		Detail:  err.Error(),
		Took:    time.Since(started),
	}
	// A refused connection means that no entry got the request: the platform's balancer would have
	// tried the next one.
	if strings.Contains(err.Error(), "connection refused") {
		r.Verdict = Refused
	}
	return r
}

func problemResult(resp *fasthttp.Response, started time.Time) Result {
	r := Result{
		Verdict:    Wrong,
		Status:     resp.StatusCode(),
		Took:       time.Since(started),
		RetryAfter: string(resp.Header.Peek("Retry-After")),
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
			return streamErrorResult(lines, r)
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

func streamErrorResult(lines *bufio.Reader, r Result) Result {
	line, _ := lines.ReadString('\n')
	data, _ := strings.CutPrefix(strings.TrimSpace(line), "data: ")
	r.Verdict = Cut
	if json.Unmarshal([]byte(data), &r.Problem) == nil && r.Problem.Outcome == core.OutcomeUnknown {
		r.Verdict = Unknown
	}
	r.Detail = data
	return r
}
