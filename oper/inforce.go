package oper

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"geraniumpass/view"
)

const (
	defaultBehindBound     = "2s"
	defaultConfirmedWithin = "10s"
	// recheckInterval is the pause before a gateway that lacks something is asked again.
	recheckInterval = 100 * time.Millisecond
	// maxConcurrentAsks bounds the gateways that are asked at the same time.
	maxConcurrentAsks = 64
)

// BehindError reports gateways that haven't in force what others have or know.
type BehindError struct {
	Behind int
	Asked  int
	Bound  time.Duration
}

// Error returns a message with the numbers and the bound.
func (e *BehindError) Error() string {
	return fmt.Sprintf("%d of %d gateways are behind by more than %s, unconfirmed or unreachable", e.Behind, e.Asked, e.Bound)
}

// InputError reports an argument that can't be used.
type InputError struct {
	Argument string
	Got      string
}

// Error returns a message with the argument and its value.
func (e *InputError) Error() string {
	return fmt.Sprintf("%s: %q can't be used", e.Argument, e.Got)
}

// inForce asks gateways what they have in force.
type inForce struct {
	addresses       []string
	bound           time.Duration
	confirmedWithin time.Duration
}

func (c *Command) registerInForce(app *kingpin.Application) {
	cmd := app.Command("in-force", "Ask gateways on the platform which version and revision are in force, and whether all have the newest. "+
		"Exits with 1 if one is behind, and with 2 on bad input.")
	q := &inForce{}
	cmd.Arg("ready", "Ready addresses of the gateways; @FILE reads them from a file, one a line.").Required().StringsVar(&q.addresses)
	cmd.Flag("bound", "How long a gateway may take to have in force what is newest at the first answers.").Default(defaultBehindBound).DurationVar(&q.bound)
	cmd.Flag("confirmed-within", "How old the last confirmation of a gateway's state may be.").Default(defaultConfirmedWithin).DurationVar(&q.confirmedWithin)
	cmd.Action(func(*kingpin.ParseContext) error {
		if err := q.validate(); err != nil {
			return err
		}
		return c.printInForce(q)
	})
}

// validate fails with an *InputError if an argument can't be used.
func (q *inForce) validate() error {
	if len(q.addresses) == 0 {
		return &InputError{Argument: "ready"}
	}
	seen := make(map[string]bool, len(q.addresses))
	for _, a := range q.addresses {
		if !isAddress(a) || seen[a] {
			return &InputError{
				Argument: "ready",
				Got:      a,
			}
		}
		seen[a] = true
	}
	if q.bound < 0 {
		return &InputError{
			Argument: "--bound",
			Got:      q.bound.String(),
		}
	}
	if q.confirmedWithin <= 0 {
		return &InputError{
			Argument: "--confirmed-within",
			Got:      q.confirmedWithin.String(),
		}
	}
	return nil
}

// isAddress reports whether text is a host and a port.
func isAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

// printInForce prints a line for each gateway and fails with a *BehindError if one is behind.
func (c *Command) printInForce(q *inForce) error {
	rows := q.run(context.Background(), askStatus)
	if err := c.printGateways(rows); err != nil {
		return err
	}
	behind := 0
	for i := range rows {
		if rows[i].Late {
			behind++
		}
	}
	if behind == 0 {
		return nil
	}
	return &BehindError{
		Behind: behind,
		Asked:  len(rows),
		Bound:  q.bound,
	}
}

// asker returns the status of the gateway at an address.
type asker func(ctx context.Context, address string) (*view.Status, error)

// run asks all gateways, and those that lack something again until they have it or the bound is over.
func (q *inForce) run(ctx context.Context, ask asker) []gatewayRow {
	started := time.Now()
	rows := make([]gatewayRow, len(q.addresses))
	each(len(rows), func(i int) {
		rows[i].Address = q.addresses[i]
		rows[i].ask(ctx, ask)
	})
	newest := newestOf(rows)
	mark(rows, newest)
	ctx, cancel := context.WithDeadline(ctx, started.Add(max(q.bound, time.Since(started))))
	defer cancel()
	each(len(rows), func(i int) {
		rows[i].follow(ctx, ask, newest, started)
		rows[i].judge(newest, q.confirmedWithin)
	})
	return rows
}

// each calls fn with every index below n, up to maxConcurrentAsks of them at once.
func each(n int, fn func(i int)) {
	free := make(chan struct{}, maxConcurrentAsks)
	for i := range n {
		free <- struct{}{}
		go func() {
			defer func() { <-free }()
			fn(i)
		}()
	}
	for range maxConcurrentAsks {
		free <- struct{}{}
	}
}
