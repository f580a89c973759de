package wire

import (
	"net"
	"testing"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/valyala/fasthttp"
)

// TestDialTimeoutBoundsTheHandshake guards against a caller that waits for seconds for a peer that
// freezes once it has accepted the connection, and meanwhile tries no other.
func TestDialTimeoutBoundsTheHandshake(t *testing.T) {
	const timeout = 100 * time.Millisecond
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		var u websocket.FastHTTPUpgrader
		_ = u.Upgrade(ctx, func(*websocket.Conn) { <-ended })
	}}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() {
		close(ended)
		_ = ln.Close()
	})
	began := time.Now()
	l, err := DialTimeout(timeout, ln.Addr().String(), Identity{ID: "entry", Role: RoleEntry}, []byte(testKey))
	if err == nil {
		l.Close()
		t.Fatal("opened a link to a peer that didn't authenticate")
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("gave up after %v", took)
	}
}
