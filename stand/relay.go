package stand

import (
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs/v2"
)

const relayBufferBytes = 32 << 10

// RelayFault is a network fault injected into a relay.
type RelayFault struct {
	// Cut closes all connections and refuses new ones.
	Cut bool
	// HoldForward holds back data from the dialling side, HoldBack data from the target.
	HoldForward bool
	HoldBack    bool
	// Delay delays every chunk of data.
	Delay time.Duration
}

// Relay forwards TCP connections to a target and can cut, hold and delay them.
type Relay struct {
	target string
	ln     net.Listener

	mu    sync.Mutex
	cond  *sync.Cond
	fault RelayFault
	conns map[net.Conn]struct{}
	done  bool
}

// NewRelay returns a relay to target that listens on a free loopback port.
func NewRelay(target string) (*Relay, error) {
	return NewRelayAt("127.0.0.1", target)
}

// NewRelayAt returns a relay to target that listens on a free port of the given address.
func NewRelayAt(ip, target string) (*Relay, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
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

// Address returns the listen address.
func (r *Relay) Address() string {
	return r.ln.Addr().String()
}

// Set sets the fault to inject; the zero RelayFault removes it.
func (r *Relay) Set(f RelayFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
	r.cond.Broadcast()
	if f.Cut {
		r.closeConns()
	}
}

// Close stops the relay and closes its connections.
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
	cut := r.fault.Cut || r.done
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
	go r.forward(t, c, func(b RelayFault) bool { return b.HoldForward })
	r.forward(c, t, func(b RelayFault) bool { return b.HoldBack })
}

func (r *Relay) forward(dst, src net.Conn, held func(RelayFault) bool) {
	defer r.closePair(dst, src)
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		delay, ok := r.awaitRelease(held)
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

// awaitRelease blocks while the direction is held. It returns the delay to apply and reports
// whether the connection is neither cut nor closed.
func (r *Relay) awaitRelease(held func(RelayFault) bool) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for held(r.fault) && !r.done && !r.fault.Cut {
		r.cond.Wait()
	}
	return r.fault.Delay, !r.done && !r.fault.Cut
}

func (r *Relay) closePair(a, b net.Conn) {
	_ = a.Close()
	_ = b.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, a)
	delete(r.conns, b)
}
