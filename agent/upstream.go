package agent

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs/v2"

	"geraniumpass/core"
	"geraniumpass/head"
	"geraniumpass/proto"
)

const (
	chunkBytes       = 64 << 10
	maxUpstreamConns = 1024
	idleConnTimeout  = 2 * time.Second
	controlTimeout   = time.Second
	// maxHeadBytes limits the head of an answer.
	maxHeadBytes = 32 << 10
	// maxEventBytes limits an event, which is sent to the entry as a whole.
	maxEventBytes = 8 << 20
	// maxControlBytes limits the answer to a call of control.
	maxControlBytes = 1 << 20
)

// Upstream is the interface through which the agent calls the process that it fronts.
type Upstream interface {
	// Do sends a request to the upstream and calls part for each piece of the answer. It fails with
	// an *UnsentError, a *LostError or the error of part.
	Do(d *proto.Dispatch, deadline time.Time, part func(*proto.Answer) error) error
	// Cancel requests that the upstream cancel a request; failures are not reported.
	Cancel(request string)
	// Leaving reports whether the upstream is about to shut down.
	Leaving() (bool, error)
	// Order sends an expert-map order to the engine in the engine's JSON format and returns the
	// reply.
	Order(body []byte) ([]byte, error)
}

// UnsentError reports that no part of a request reached the upstream.
type UnsentError struct {
	Cause error
}

// Error describes the failure and its cause.
func (e *UnsentError) Error() string {
	return "upstream not reached: " + e.Cause.Error()
}

// LostError reports that the upstream was lost before its answer was complete.
type LostError struct {
	Cause error
}

// Error describes the failure and its cause.
func (e *LostError) Error() string {
	return "upstream lost: " + e.Cause.Error()
}

// EventTooLargeError reports that an upstream sent an event of more than Limit bytes.
type EventTooLargeError struct {
	Limit int
}

// Error returns a message with the limit.
func (e *EventTooLargeError) Error() string {
	return "event exceeds " + strconv.Itoa(e.Limit) + " bytes"
}

// HTTPUpstream calls an upstream over HTTP at one address.
type HTTPUpstream struct {
	address string
	client  *fasthttp.Client
	// controls makes calls whose answers are read as a whole.
	controls *fasthttp.Client
}

// NewHTTPUpstream returns an upstream at address, an IP address and port.
func NewHTTPUpstream(address string) *HTTPUpstream {
	return &HTTPUpstream{
		address: address,
		client: &fasthttp.Client{
			MaxConnsPerHost:     maxUpstreamConns,
			MaxIdleConnDuration: idleConnTimeout,
			DialTimeout:         head.DialTimeout,
			ConfigureClient:     head.HideContents,
			StreamResponseBody:  true,
			ReadBufferSize:      maxHeadBytes,
			// The HTTP client must not retry: only the entry knows whether a request may be
			// repeated.
			RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			NoDefaultUserAgentHeader:      true,
			DisablePathNormalizing:        true,
			DisableHeaderNamesNormalizing: false,
		},
		controls: &fasthttp.Client{
			DialTimeout:              head.DialTimeout,
			ConfigureClient:          head.HideContents,
			MaxIdleConnDuration:      idleConnTimeout,
			MaxResponseBodySize:      maxControlBytes,
			RetryIfErr:               func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			NoDefaultUserAgentHeader: true,
		},
	}
}

// Do implements Upstream.
func (u *HTTPUpstream) Do(d *proto.Dispatch, deadline time.Time, part func(*proto.Answer) error) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	u.buildRequest(req, d)
	if err := u.client.DoDeadline(req, resp, deadline); err != nil {
		return classify(err)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	return forwardResponse(resp, part)
}

// forwardResponse calls part for each piece of an answer.
func forwardResponse(resp *fasthttp.Response, part func(*proto.Answer) error) error {
	head := &proto.Answer{
		Status:  resp.StatusCode(),
		Headers: proto.Headers(resp.Header.All(), hopHeaders),
	}
	if err := part(head); err != nil {
		return err
	}
	body := resp.BodyStream()
	if body == nil {
		body = bytes.NewReader(resp.Body())
	}
	stream := bytes.HasPrefix(resp.Header.ContentType(), []byte("text/event-stream"))
	if stream {
		return readEvents(body, part)
	}
	return readChunks(body, resp.Header.ContentLength(), part)
}

func (u *HTTPUpstream) buildRequest(req *fasthttp.Request, d *proto.Dispatch) {
	req.SetRequestURI("http://" + u.address + d.Path)
	req.Header.SetMethod(d.Method)
	for _, h := range d.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	req.Header.Set("X-Request-Id", d.Request)
	if d.ResumeFrom > 0 {
		req.Header.Set("X-Resume-From", strconv.FormatUint(uint64(d.ResumeFrom), 10))
	}
	req.SetBodyRaw(d.Body)
}

// Cancel implements Upstream.
func (u *HTTPUpstream) Cancel(request string) {
	body, err := json.Marshal(map[string]string{"id": request})
	if err != nil {
		return
	}
	_, _ = u.control(fasthttp.MethodPost, "/v1/cancel", body)
}

// Leaving implements Upstream.
func (u *HTTPUpstream) Leaving() (bool, error) {
	b, err := u.control(fasthttp.MethodGet, "/health", nil)
	if err != nil {
		return false, err
	}
	var h struct {
		Leaving bool `json:"leaving"`
	}
	return h.Leaving, errs.Wrap(json.Unmarshal(b, &h))
}

func (u *HTTPUpstream) control(method, path string, body []byte) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + u.address + path)
	req.Header.SetMethod(method)
	req.SetBody(body)
	if err := u.controls.DoTimeout(req, resp, controlTimeout); err != nil {
		return nil, errs.Wrap(err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, &LostError{Cause: errs.Errorf("unexpected HTTP status %d", resp.StatusCode())}
	}
	return append([]byte{}, resp.Body()...), nil
}

func classify(err error) error {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" || errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return &UnsentError{Cause: err}
	}
	return &LostError{Cause: err}
}

// hopHeaders lists the hop-by-hop and per-connection headers, which are not forwarded.
var hopHeaders = map[string]bool{
	"connection":          true,
	"keep-alive":          true,
	"proxy-authenticate":  true,
	"proxy-authorization": true,
	"te":                  true,
	"trailer":             true,
	"transfer-encoding":   true,
	"upgrade":             true,
	"content-length":      true,
	"date":                true,
	"server":              true,
}

var (
	lineEnd  = []byte("\n")
	eventEnd = []byte("\n\n")
)

// readEvents forwards one server-sent event per part. The answer is complete only after the closing
// [DONE] event.
func readEvents(body io.Reader, part func(*proto.Answer) error) error {
	r := bufio.NewReader(body)
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEventBytes {
			return &LostError{Cause: &EventTooLargeError{Limit: maxEventBytes}}
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return &LostError{Cause: err}
		}
		if !bytes.Equal(event, lineEnd) && !bytes.HasSuffix(event, eventEnd) {
			continue
		}
		last := bytes.HasPrefix(event, []byte("data: [DONE]"))
		p := &proto.Answer{
			Data: event,
			Last: last,
		}
		if err := part(p); err != nil {
			return err
		}
		if last {
			return nil
		}
		event = nil
	}
}

// readChunks forwards a body in chunks. A body that is truncated or shorter than its Content-Length
// gives a *LostError.
func readChunks(body io.Reader, length int, part func(*proto.Answer) error) error {
	total := 0
	for {
		chunk := make([]byte, chunkBytes)
		n, err := readFull(body, chunk)
		total += n
		ended := errors.Is(err, io.EOF)
		if err != nil && !ended {
			return &LostError{Cause: err}
		}
		if ended && length >= 0 && total < length {
			return &LostError{Cause: io.ErrUnexpectedEOF}
		}
		p := &proto.Answer{
			Data: chunk[:n],
			Last: ended,
		}
		if err := part(p); err != nil {
			return err
		}
		if ended {
			return nil
		}
	}
}

// readFull reads until chunk is full or body returns an error, and returns that error unchanged.
// io.ReadFull would return io.ErrUnexpectedEOF for the end of the body within a chunk, which is
// also the error of a truncated body.
func readFull(body io.Reader, chunk []byte) (int, error) {
	n := 0
	for n < len(chunk) {
		m, err := body.Read(chunk[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// lostPart returns the last part of an attempt whose upstream was lost.
func lostPart() *proto.Answer {
	return &proto.Answer{
		Last:   true,
		Failed: core.ReasonUpstreamLost,
	}
}
