package store

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs/v2"
)

const (
	callTimeout = 2 * time.Second
	maxConns    = 64
)

// calls counts what the process asks of the key-value service, a waiting watch as one call.
var calls = expvar.NewInt("key_value_calls")

// Paths of the JSON gateway.
const (
	PathRange  = "/v3/kv/range"
	PathTxn    = "/v3/kv/txn"
	PathWatch  = "/v3/watch"
	PathGrant  = "/v3/lease/grant"
	PathKeep   = "/v3/lease/keepalive"
	PathRevoke = "/v3/lease/revoke"
)

// StatusError is an answer of the key-value service that is not a success.
type StatusError struct {
	Status int
	Body   string
}

// Error returns the body of the answer.
func (e *StatusError) Error() string {
	return e.Body
}

// Etcd is a Store that speaks etcd's published JSON gateway.
type Etcd struct {
	address string
	client  *fasthttp.Client
}

// NewEtcd returns a store at address, an IP and port; no connection is made until it is used.
func NewEtcd(address string) *Etcd {
	return &Etcd{
		address: address,
		client: &fasthttp.Client{
			MaxConnsPerHost:     maxConns,
			MaxIdleConnDuration: time.Second,
			RetryIfErr:          never,
		},
	}
}

// Get implements Store.
func (e *Etcd) Get(ctx context.Context, key string) (Value, error) {
	var resp RangeResponse
	if err := e.call(ctx, PathRange, RangeRequest{Key: []byte(key)}, &resp); err != nil {
		return Value{}, &DownError{Cause: err}
	}
	return first(resp.Kvs), nil
}

// Peek implements Store.
func (e *Etcd) Peek(ctx context.Context, key string) (Value, error) {
	req := RangeRequest{
		Key:      []byte(key),
		KeysOnly: true,
	}
	var resp RangeResponse
	if err := e.call(ctx, PathRange, req, &resp); err != nil {
		return Value{}, &DownError{Cause: err}
	}
	return first(resp.Kvs), nil
}

// Swap implements Store.
func (e *Etcd) Swap(ctx context.Context, key string, data []byte, modified int64, lease Lease) (Value, error) {
	req := TxnRequest{
		Compare: []Compare{{
			Key:         []byte(key),
			Target:      "MOD",
			Result:      "EQUAL",
			ModRevision: modified,
		}},
		Success: []RequestOp{{
			RequestPut: &PutRequest{
				Key:   []byte(key),
				Value: data,
				Lease: int64(lease),
			},
		}},
		Failure: []RequestOp{{
			RequestRange: &RangeRequest{Key: []byte(key)},
		}},
	}
	var resp TxnResponse
	if err := e.call(ctx, PathTxn, req, &resp); err != nil {
		return Value{}, writeError(err)
	}
	if resp.Succeeded {
		v := Value{
			Data:     data,
			Modified: resp.Header.Revision,
		}
		if modified == 0 {
			v.Created = v.Modified
		}
		return v, nil
	}
	conflict := &ConflictError{Key: key}
	if len(resp.Responses) > 0 && resp.Responses[0].ResponseRange != nil {
		conflict.Current = first(resp.Responses[0].ResponseRange.Kvs)
	}
	return Value{}, conflict
}

// Watch implements Store.
func (e *Etcd) Watch(ctx context.Context, key string, after int64, fn func(Value)) error {
	calls.Add(1)
	body, err := json.Marshal(WatchRequest{
		CreateRequest: WatchCreate{
			Key:           []byte(key),
			StartRevision: after + 1,
		},
	})
	if err != nil {
		return errs.Wrap(err)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	e.fill(req, PathWatch, body)
	client := e.watchClient(ctx)
	if err := client.Do(req, resp); err != nil {
		return &DownError{Cause: err}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return &DownError{Cause: &StatusError{Status: resp.StatusCode(), Body: "watch refused"}}
	}
	d := json.NewDecoder(bufio.NewReader(resp.BodyStream()))
	for {
		var line WatchResponse
		if err := d.Decode(&line); err != nil {
			return &DownError{Cause: err}
		}
		for _, ev := range line.Result.Events {
			if ev.Type != "DELETE" {
				fn(first([]KeyValue{ev.Kv}))
			}
		}
	}
}

// watchClient returns a client whose one connection is closed when ctx ends, which ends the read of the stream.
func (e *Etcd) watchClient(ctx context.Context) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:               e.address,
		MaxConns:           1,
		RetryIfErr:         never,
		StreamResponseBody: true,
		Dial: func(address string) (net.Conn, error) {
			c, err := fasthttp.DialTimeout(address, callTimeout)
			if err == nil {
				context.AfterFunc(ctx, func() { _ = c.Close() })
			}
			return c, err
		},
	}
}

// never keeps the client from repeating a call by itself, since a write may have taken effect.
func never(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}

// Grant implements Store.
func (e *Etcd) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	var resp LeaseResponse
	err := e.call(ctx, PathGrant, LeaseRequest{TTL: int64(max(ttl, time.Second) / time.Second)}, &resp)
	if err != nil {
		return 0, writeError(err)
	}
	return Lease(resp.ID), nil
}

// Keep implements Store.
func (e *Etcd) Keep(ctx context.Context, lease Lease) error {
	var resp KeepResponse
	if err := e.call(ctx, PathKeep, LeaseRequest{ID: int64(lease)}, &resp); err != nil {
		return writeError(err)
	}
	if resp.Result.TTL <= 0 {
		return &LeaseError{Lease: lease}
	}
	return nil
}

// Revoke implements Store.
func (e *Etcd) Revoke(ctx context.Context, lease Lease) error {
	var resp LeaseResponse
	if err := e.call(ctx, PathRevoke, LeaseRequest{ID: int64(lease)}, &resp); err != nil {
		return writeError(err)
	}
	return nil
}

func (e *Etcd) call(ctx context.Context, path string, in, out any) error {
	calls.Add(1)
	body, err := json.Marshal(in)
	if err != nil {
		return errs.Wrap(err)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	e.fill(req, path, body)
	deadline, ok := ctx.Deadline()
	if limit := time.Now().Add(callTimeout); !ok || limit.Before(deadline) {
		deadline = limit
	}
	if err := e.client.DoDeadline(req, resp, deadline); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return &StatusError{
			Status: resp.StatusCode(),
			Body:   string(resp.Body()),
		}
	}
	return errs.Wrap(json.Unmarshal(resp.Body(), out))
}

func (e *Etcd) fill(req *fasthttp.Request, path string, body []byte) {
	req.SetRequestURI("http://" + e.address + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBody(body)
}

// writeError separates what surely had no effect, because no connection was made or the service refused, from the rest.
func writeError(err error) error {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" || errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return &DownError{Cause: err}
	}
	var status *StatusError
	if errors.As(err, &status) && status.Status < fasthttp.StatusInternalServerError {
		return &DownError{Cause: err}
	}
	return &UnsureError{Cause: err}
}

func first(kvs []KeyValue) Value {
	if len(kvs) == 0 {
		return Value{}
	}
	return Value{
		Data:     kvs[0].Value,
		Created:  kvs[0].CreateRevision,
		Modified: kvs[0].ModRevision,
	}
}
