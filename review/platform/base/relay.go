package base

import (
	"errors"
	"io"
	"net"
	"sync"
)

// Relay passes on the connections to a process, and can make those that are open go silent for good,
// without a reset, while new ones work.
type Relay struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	links map[*link]bool
}

// link is one relayed connection. It is silent once closed silent.
type link struct {
	silent chan struct{}
	near   net.Conn
	far    net.Conn
}

// StartRelay starts a relay to the target on a free port of the loopback interface.
func StartRelay(target string) (*Relay, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{
		target:   target,
		listener: ln,
		links:    make(map[*link]bool),
	}
	go r.accept()
	return r, nil
}

// Address returns the address of the relay.
func (r *Relay) Address() string {
	return r.listener.Addr().String()
}

// Silence makes the open connections silent and returns how many there were.
func (r *Relay) Silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for l := range r.links {
		select {
		case <-l.silent:
		default:
			close(l.silent)
			n++
		}
	}
	return n
}

// Close stops the relay.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		_ = l.near.Close()
		_ = l.far.Close()
	}
}

func (r *Relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp4", r.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		l := &link{
			silent: make(chan struct{}),
			near:   near,
			far:    far,
		}
		r.mu.Lock()
		r.links[l] = true
		r.mu.Unlock()
		var both sync.WaitGroup
		both.Add(2)
		go l.pass(&both, far, near)
		go l.pass(&both, near, far)
		go func() {
			both.Wait()
			_ = near.Close()
			_ = far.Close()
			r.mu.Lock()
			delete(r.links, l)
			r.mu.Unlock()
		}()
	}
}

// pass copies bytes until one side ends, and drops them once the link is silent.
func (l *link) pass(both *sync.WaitGroup, to, from net.Conn) {
	defer both.Done()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		select {
		case <-l.silent:
			if err != nil {
				return
			}
			continue
		default:
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				_ = to.Close()
			}
			return
		}
	}
}
