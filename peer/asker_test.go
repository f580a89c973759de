package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"geraniumpass/wire"
)

// TestSilentPeerTimesOut guards against hanging on a peer that accepts connections but never
// responds, as one behind a partition does.
func TestSilentPeerTimesOut(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	p := &Poller{
		Self: wire.Identity{ID: "front-1"},
		Key:  []byte("a-link-key-for-tests"),
		Log:  hclog.NewNullLogger(),
	}
	began := time.Now()
	p.poll(context.Background(), ln.Addr().String(), true)
	if took := time.Since(began); took > 4*dialTimeout {
		t.Errorf("poll returned after %s", took)
	}
}
