package oper

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs/v2"

	"geraniumpass/view"
)

// statusTimeout bounds one question to a gateway.
const statusTimeout = time.Second

// StatusError reports an answer of a gateway that isn't a status.
type StatusError struct {
	Status int
}

// Error returns a message with the HTTP status.
func (e *StatusError) Error() string {
	return "answered HTTP " + strconv.Itoa(e.Status) + " instead of a status"
}

// askStatus asks the gateway with a ready address for its status.
func askStatus(ctx context.Context, address string) (*view.Status, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + view.StatusPath)
	until := time.Now().Add(statusTimeout)
	if end, ok := ctx.Deadline(); ok && end.Before(until) {
		until = end
	}
	if err := httpClient.DoDeadline(req, resp, until); err != nil {
		return nil, errs.Wrap(err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, &StatusError{Status: resp.StatusCode()}
	}
	s := &view.Status{}
	return s, errs.Wrap(json.Unmarshal(resp.Body(), s))
}

// printGateways prints a line for each gateway.
func (c *Command) printGateways(rows []gatewayRow) error {
	head := []string{"ADDRESS", "GATEWAY", "VERSION", "FOR", "FROM", "REVISION", "ERA", "CONFIRMED", "BACKLOG", "REFUSED", "STATE"}
	lines := make([][]string, 0, len(rows))
	for i := range rows {
		lines = append(lines, rows[i].cells())
	}
	return c.printTable(rows, head, lines)
}

func (r *gatewayRow) cells() []string {
	s := r.Status
	if s == nil {
		return []string{r.Address, "-", "-", "-", "-", "-", "-", "-", "-", "-", r.note()}
	}
	confirmed := "never"
	if s.Confirmed {
		confirmed = millisText(s.UnconfirmedMs) + " ago"
	}
	return []string{
		r.Address,
		s.ID,
		strconv.FormatInt(s.Version.Number, 10),
		millisText(s.Version.AgeMs),
		strings.TrimSpace(s.Version.From.Via + " " + s.Version.From.Peer),
		strconv.FormatInt(s.Revision.Number, 10),
		strconv.FormatInt(s.Era, 10),
		confirmed,
		strconv.FormatInt(s.Version.Backlog, 10) + "/" + strconv.FormatInt(s.Revision.Backlog, 10),
		strconv.Itoa(len(s.Refused)),
		r.note(),
	}
}

func millisText(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).String()
}
