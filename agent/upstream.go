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
	"geraniumpass/proto"
)

const (
	chunkBytes    = 64 << 10
	upstreamConns = 1024
	idleConn      = 2 * time.Second
	controlTime   = time.Second
)

// Upstream is what the agent needs of the process that it stands before.
type Upstream interface {
	// Do puts a request to the upstream and calls part for each piece of its answer; it fails with an *UnsentError or a *LostError.
	Do(d *proto.Dispatch, deadline time.Time, part func(*proto.Answer) error) error
	// Cancel asks the upstream to give a request up.
	Cancel(request string)
	// Leaving asks the upstream whether it is about to leave.
	Leaving() (bool, error)
	// Order gives a rank an order for its expert map, in the engine's form, and returns its reply.
	Order(body []byte) ([]byte, error)
}

// UnsentError says that nothing of a request reached the upstream.
type UnsentError struct {
	Cause error
}

// Error returns the cause.
func (e *UnsentError) Error() string {
	return "upstream not reached: " + e.Cause.Error()
}

// LostError says that the upstream was lost before its answer was whole.
type LostError struct {
	Cause error
}

// Error returns the cause.
func (e *LostError) Error() string {
	return "upstream lost: " + e.Cause.Error()
}

// HTTPUpstream speaks HTTP to an upstream on one address.
type HTTPUpstream struct {
	address string
	client  *fasthttp.Client
}

// NewHTTPUpstream returns an upstream at address, an IP and port.
func NewHTTPUpstream(address string) *HTTPUpstream {
	return &HTTPUpstream{
		address: address,
		client: &fasthttp.Client{
			MaxConnsPerHost:     upstreamConns,
			MaxIdleConnDuration: idleConn,
			StreamResponseBody:  true,
			// A request is put to the upstream once: whether it may be repeated is not the client's to decide.
			RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			NoDefaultUserAgentHeader:      true,
			DisablePathNormalizing:        true,
			DisableHeaderNamesNormalizing: false,
		},
	}
}

// Do implements Upstream.
func (u *HTTPUpstream) Do(d *proto.Dispatch, deadline time.Time, part func(*proto.Answer) error) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	u.fill(req, d)
	if err := u.client.DoDeadline(req, resp, deadline); err != nil {
		return classify(err)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	return handOn(resp, part)
}

// handOn calls part for each piece of an answer.
func handOn(resp *fasthttp.Response, part func(*proto.Answer) error) error {
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

func (u *HTTPUpstream) fill(req *fasthttp.Request, d *proto.Dispatch) {
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
	if err := u.client.DoTimeout(req, resp, controlTime); err != nil {
		return nil, errs.Wrap(err)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, &LostError{Cause: errs.Errorf("status %d", resp.StatusCode())}
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

// hopHeaders are the fields that belong to one connection and are not passed on.
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

// readEvents hands on one server-sent event a part and ends whole only after the closing event.
func readEvents(body io.Reader, part func(*proto.Answer) error) error {
	r := bufio.NewReader(body)
	var event []byte
	for {
		line, err := r.ReadBytes('\n')
		event = append(event, line...)
		if err != nil {
			return &LostError{Cause: err}
		}
		if len(line) > 1 {
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

// readChunks hands on a body in pieces; a body that breaks off or is shorter than its stated length is a lost upstream.
func readChunks(body io.Reader, length int, part func(*proto.Answer) error) error {
	total := 0
	for {
		chunk := make([]byte, chunkBytes)
		n, err := fill(body, chunk)
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

// fill reads until chunk is full or the body's own error. io.ReadFull would tell the end within a chunk by the very error that a body
// which breaks off gives.
func fill(body io.Reader, chunk []byte) (int, error) {
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

// lostPart ends an attempt whose upstream was lost.
func lostPart() *proto.Answer {
	return &proto.Answer{
		Last:   true,
		Failed: core.ReasonUpstreamLost,
	}
}
