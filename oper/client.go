package oper

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs/v2"

	"geraniumpass/config"
	"geraniumpass/entry"
	"geraniumpass/head"
)

const (
	callTimeout = 15 * time.Second
	// maxReplyBytes limits a reply, of which audit records are the largest.
	maxReplyBytes = 64 << 20
)

var httpClient = &fasthttp.Client{
	DialTimeout:         head.DialTimeout,
	ConfigureClient:     head.HideContents,
	ReadTimeout:         callTimeout,
	MaxResponseBodySize: maxReplyBytes,
}

// Client calls the operator interface of one entry.
type Client struct {
	Address string
	Key     string
}

// CallError is a response with a status other than 200.
type CallError struct {
	Status int
	Reply  entry.ChangeReply
}

// Error returns the detail of the response and its status.
func (e *CallError) Error() string {
	return fmt.Sprintf("%s (HTTP %d)", e.Reply.Detail, e.Status)
}

// Config returns the configuration held by the entry.
func (c *Client) Config() (*config.Document, error) {
	doc := &config.Document{}
	return doc, c.call(fasthttp.MethodGet, "/operator/config", nil, doc)
}

// Status returns the entry's view of upstreams, classes and groups.
func (c *Client) Status() (*entry.Status, error) {
	s := &entry.Status{}
	return s, c.call(fasthttp.MethodGet, "/operator/status", nil, s)
}

// Audit returns the audit records starting at revision since.
func (c *Client) Audit(since uint64) ([]config.Record, error) {
	var records []config.Record
	return records, c.call(fasthttp.MethodGet, fmt.Sprintf("/operator/audit?since=%d", since), nil, &records)
}

// Change submits a change and fails with a *CallError if the entry does not accept it.
func (c *Client) Change(req entry.ChangeRequest) (entry.ChangeReply, error) {
	var reply entry.ChangeReply
	return reply, c.call(fasthttp.MethodPost, "/operator/change", req, &reply)
}

func (c *Client) call(method, path string, in, out any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.Address + path)
	req.Header.SetMethod(method)
	req.Header.Set("Authorization", "Bearer "+c.Key)
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return errs.Wrap(err)
		}
		req.SetBody(b)
	}
	if err := httpClient.DoTimeout(req, resp, callTimeout); err != nil {
		return errs.Wrap(err)
	}
	if resp.StatusCode() == fasthttp.StatusOK {
		return errs.Wrap(json.Unmarshal(resp.Body(), out))
	}
	failed := &CallError{Status: resp.StatusCode()}
	if err := json.Unmarshal(resp.Body(), &failed.Reply); err != nil {
		failed.Reply.Detail = string(resp.Body())
	}
	return failed
}
