package pool

import (
	"bufio"
	"context"
	"expvar"
	"fmt"
	"math"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"

	"geraniumpass/head"
	"geraniumpass/reset"
)

const (
	// dialTimeout limits opening a connection. A running instance accepts within two network delays
	// between failure domains plus a few milliseconds for the handshake.
	dialTimeout = 300 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveProbes detect a silent peer within three
	// seconds.
	keepAliveIdle     = 1500 * time.Millisecond
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 3
	// readBufferBytes is large enough for a typical answer or several events of a stream.
	readBufferBytes = 4 << 10
	// idleMargin is subtracted from the time an instance keeps a connection open, so that no
	// request is sent while the instance closes it.
	idleMargin = 700 * time.Millisecond
	// unbounded disables the limit of open connections.
	unbounded = math.MaxInt
	// maxIdleTime is how long an idle connection is kept, also if its instance states no time.
	maxIdleTime = 60 * time.Second
)

var connectionsOpened = expvar.NewInt("upstream_connections_opened")

// FullError reports that the limit of connections to an instance is reached.
type FullError struct {
	Address string
	Limit   int
}

// Error returns a message with the address and the limit.
func (e *FullError) Error() string {
	return fmt.Sprintf("%s reached its limit of %d connections", e.Address, e.Limit)
}

// Pool holds the connections to all instances. It is safe for concurrent use.
type Pool struct {
	clock  clockwork.Clock
	dialer net.Dialer

	mu   sync.Mutex
	idle map[Target][]*Conn
	open map[Target]int
}

// New returns an empty pool.
func New(clock clockwork.Clock) *Pool {
	return &Pool{
		clock: clock,
		dialer: net.Dialer{
			Timeout: dialTimeout,
			Control: boundReceiveBuffer,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable:   true,
				Idle:     keepAliveIdle,
				Interval: keepAliveInterval,
				Count:    keepAliveProbes,
			},
		},
		idle: make(map[Target][]*Conn),
		open: make(map[Target]int),
	}
}

// Get returns an idle connection to the target or opens one. It returns a *FullError if limit
// connections to the target are open already.
func (p *Pool) Get(ctx context.Context, t Target, limit int) (*Conn, error) {
	for {
		c := p.popIdle(t)
		if c == nil {
			break
		}
		if p.clock.Now().Before(c.expires) && c.isReusable() {
			return c, nil
		}
		c.Discard()
	}
	if !p.reserveSlot(t, limit) {
		return nil, &FullError{
			Address: t.Address,
			Limit:   limit,
		}
	}
	nc, err := p.dialer.DialContext(ctx, "tcp4", t.Address)
	if err != nil {
		p.releaseSlot(t)
		return nil, err
	}
	connectionsOpened.Add(1)
	return p.newConn(nc, t), nil
}

func (p *Pool) newConn(nc net.Conn, t Target) *Conn {
	conn := reset.NewConn(nc)
	heads := head.NewReader(conn)
	source := &limitedReader{
		from: heads,
		left: unlimited,
	}
	return &Conn{
		Conn:   conn,
		Reader: bufio.NewReaderSize(source, readBufferBytes),
		Opened: p.clock.Now(),
		raw:    nc,
		source: source,
		heads:  heads,
		target: t,
		pool:   p,
	}
}

// IdleCount returns the number of idle connections to the target.
func (p *Pool) IdleCount(t Target) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[t])
}

// Prune closes the idle connections to targets for which keep returns false, and those that were closed or
// have received unsolicited data, which would take memory until the connection is used again.
func (p *Pool) Prune(keep func(t Target) bool) {
	p.mu.Lock()
	var pruned []*Conn
	for t, list := range p.idle {
		kept, unusable := lo.FilterReject(list, func(c *Conn, _ int) bool { return keep(t) && c.isReusable() })
		pruned = append(pruned, unusable...)
		p.idle[t] = kept
		if len(kept) == 0 {
			delete(p.idle, t)
		}
	}
	p.mu.Unlock()
	for _, c := range pruned {
		c.Discard()
	}
}

func (p *Pool) popIdle(t Target) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[t]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[t] = list[:len(list)-1]
	return c
}

func (p *Pool) reserveSlot(t Target, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[t] >= limit {
		return false
	}
	p.open[t]++
	return true
}

func (p *Pool) releaseSlot(t Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[t]--
	if p.open[t] <= 0 {
		delete(p.open, t)
	}
}

func (p *Pool) putIdle(c *Conn, idle time.Duration) {
	if idle <= 0 || idle > maxIdleTime {
		idle = maxIdleTime
	}
	c.Reused = true
	c.expires = p.clock.Now().Add(idle - idleMargin)
	if c.Reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		c.Discard()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.target] = append(p.idle[c.target], c)
}
