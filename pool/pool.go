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
)

const (
	// dialTimeout bounds the opening of a connection; an instance that is up accepts within two delays between zones and a handshake of some ms.
	dialTimeout = 300 * time.Millisecond
	// keepAliveIdle, keepAliveEvery and keepAliveProbes find a silent peer within three seconds.
	keepAliveIdle   = 1500 * time.Millisecond
	keepAliveEvery  = 500 * time.Millisecond
	keepAliveProbes = 3
	// readBuffer holds a usual answer or several events of a stream, in bytes.
	readBuffer = 4 << 10
	// idleMargin is given up of the time for which an instance keeps a connection, so that a request doesn't cross its end.
	idleMargin = 700 * time.Millisecond
	// unbounded is the limit of connections that are opened whatever their number.
	unbounded = math.MaxInt
	// idleMost is how long a connection is kept whose instance names no time.
	idleMost = 60 * time.Second
)

var dialled = expvar.NewInt("upstream_connections_opened")

// FullError says that no further connection to an instance may be opened.
type FullError struct {
	Address string
	Limit   int
}

// Error names the address and the limit.
func (e *FullError) Error() string {
	return fmt.Sprintf("%s has its %d connections", e.Address, e.Limit)
}

// Pool is safe for use by several goroutines.
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
			KeepAliveConfig: net.KeepAliveConfig{
				Enable:   true,
				Idle:     keepAliveIdle,
				Interval: keepAliveEvery,
				Count:    keepAliveProbes,
			},
		},
		idle: make(map[Target][]*Conn),
		open: make(map[Target]int),
	}
}

// Get returns an idle connection or opens one; limit bounds the open connections to the target and a *FullError says that it is reached.
func (p *Pool) Get(ctx context.Context, t Target, limit int) (*Conn, error) {
	for {
		c := p.take(t)
		if c == nil {
			break
		}
		if p.clock.Now().Before(c.expires) && c.quiet() {
			return c, nil
		}
		c.Discard()
	}
	if !p.reserve(t, limit) {
		return nil, &FullError{
			Address: t.Address,
			Limit:   limit,
		}
	}
	nc, err := p.dialer.DialContext(ctx, "tcp4", t.Address)
	if err != nil {
		p.closed(t)
		return nil, err
	}
	dialled.Add(1)
	return p.newConn(nc, t), nil
}

func (p *Pool) newConn(nc net.Conn, t Target) *Conn {
	return &Conn{
		Conn:   nc,
		Reader: bufio.NewReaderSize(nc, readBuffer),
		Opened: p.clock.Now(),
		target: t,
		pool:   p,
	}
}

// Idle returns how many connections to the target wait for a request.
func (p *Pool) Idle(t Target) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[t])
}

// Forget closes the idle connections to targets that keep returns false for.
func (p *Pool) Forget(keep func(t Target) bool) {
	p.mu.Lock()
	var drop []*Conn
	for t, list := range p.idle {
		if !keep(t) {
			drop = append(drop, list...)
			delete(p.idle, t)
		}
	}
	p.mu.Unlock()
	for _, c := range drop {
		c.Discard()
	}
}

func (p *Pool) take(t Target) *Conn {
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

func (p *Pool) reserve(t Target, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[t] >= limit {
		return false
	}
	p.open[t]++
	return true
}

func (p *Pool) closed(t Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[t]--
	if p.open[t] <= 0 {
		delete(p.open, t)
	}
}

func (p *Pool) put(c *Conn, idle time.Duration) {
	if idle <= 0 || idle > idleMost {
		idle = idleMost
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
