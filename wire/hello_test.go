package wire

import (
	"errors"
	"net"
	"testing"

	"github.com/fasthttp/websocket"
	"github.com/valyala/fasthttp"
)

const testKey = "key-for-links-in-tests"

// serveLinks accepts links and sends the peer identity of each to opened.
func serveLinks(t *testing.T, opened chan<- Identity) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		_ = Accept(ctx, Identity{ID: "agent", Role: RoleAgent, Incarnation: 5}, []byte(testKey), func(l *Link) {
			opened <- l.Peer
			<-l.Done()
		})
	}}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

func TestWrongKeyOpensNoLink(t *testing.T) {
	opened := make(chan Identity, 1)
	address := serveLinks(t, opened)
	_, err := Dial(address, Identity{ID: "entry", Role: RoleEntry}, []byte("another key altogether"))
	var auth *AuthError
	if !errors.As(err, &auth) {
		t.Errorf("got %v, want an *AuthError", err)
	}
	l, err := Dial(address, Identity{ID: "entry", Role: RoleEntry}, []byte(testKey))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if got := <-opened; got.ID != "entry" {
		t.Errorf("opened a link to %+v", got)
	}
}

// TestReflectedProofOpensNoLink guards against a reflection attack: a peer without the key returns
// the agent's own nonce and identity, and then its own proof.
func TestReflectedProofOpensNoLink(t *testing.T) {
	opened := make(chan Identity, 1)
	c, resp, err := websocket.DefaultDialer.Dial("ws://"+serveLinks(t, opened)+"/link", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if resp.Body != nil {
		_ = resp.Body.Close()
	}
	for range 2 {
		h, err := readHello(c)
		if err != nil {
			t.Fatal(err)
		}
		if err := sendHello(c, h); err != nil {
			t.Fatal(err)
		}
	}
	closed := make(chan error, 1)
	go func() {
		_, _, err := c.ReadMessage()
		closed <- err
	}()
	select {
	case identity := <-opened:
		t.Errorf("link to %+v opened without the key", identity)
	case err := <-closed:
		if err == nil {
			t.Error("the agent accepted its own reflected proof")
		}
	}
}
