package stand

import (
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs/v2"
)

const relayBuffer = 32 << 10

// Break is the way in which a relay misbehaves.
type Break struct {
	// Cut closes all connections and refuses new ones.
	Cut bool
	// HoldForward keeps what the dialling side sends; HoldBack keeps what the other side sends.
	HoldForward bool
	HoldBack    bool
	// Delay holds every piece up.
	Delay time.Duration
}

// Relay passes TCP connections on to a target and can cut, hold and delay them.
type Relay struct {
	target string
	ln     net.Listener

	mu    sync.Mutex
	cond  *sync.Cond
	brk   Break
	conns map[net.Conn]struct{}
	done  bool
}

// NewRelay listens on a free port of the loopback interface.
func NewRelay(target string) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errs.Wrap(err)
	}
	r := &Relay{
		target: target,
		ln:     ln,
		conns:  make(map[net.Conn]struct{}),
	}
	r.cond = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

// Address returns where the relay listens.
func (r *Relay) Address() string {
	return r.ln.Addr().String()
}

// Set changes how the relay misbehaves; the zero Break heals it.
func (r *Relay) Set(b Break) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.brk = b
	r.cond.Broadcast()
	if b.Cut {
		r.closeConns()
	}
}

// Close ends the relay.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done = true
	_ = r.ln.Close()
	r.closeConns()
	r.cond.Broadcast()
}

func (r *Relay) closeConns() {
	for c := range r.conns {
		_ = c.Close()
	}
	clear(r.conns)
}

func (r *Relay) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

func (r *Relay) serve(c net.Conn) {
	r.mu.Lock()
	cut := r.brk.Cut || r.done
	r.mu.Unlock()
	if cut {
		_ = c.Close()
		return
	}
	t, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = c.Close()
		return
	}
	r.mu.Lock()
	r.conns[c] = struct{}{}
	r.conns[t] = struct{}{}
	r.mu.Unlock()
	go r.copy(t, c, func(b Break) bool { return b.HoldForward })
	r.copy(c, t, func(b Break) bool { return b.HoldBack })
}

func (r *Relay) copy(dst, src net.Conn, held func(Break) bool) {
	defer r.forget(dst, src)
	buf := make([]byte, relayBuffer)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		delay, ok := r.pass(held)
		if !ok {
			return
		}
		if delay > 0 {
			time.Sleep(delay)
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}

// pass waits while the direction is held and returns the delay.
func (r *Relay) pass(held func(Break) bool) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for held(r.brk) && !r.done && !r.brk.Cut {
		r.cond.Wait()
	}
	return r.brk.Delay, !r.done && !r.brk.Cut
}

func (r *Relay) forget(a, b net.Conn) {
	_ = a.Close()
	_ = b.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, a)
	delete(r.conns, b)
}
