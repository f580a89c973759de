package pool

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

func TestRefusesTellsAnEndedProcess(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := New(clockwork.NewRealClock())
	target := Target{Address: ln.Addr().String()}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if p.Refuses(ctx, target) || !p.Accepts(ctx, target) {
		t.Error("one that listens is taken for ended")
	}
	if p.Idle(target) != 2 {
		t.Errorf("%d connections kept, want those that were opened to find out", p.Idle(target))
	}
	_ = ln.Close()
	if !p.Refuses(ctx, target) || p.Accepts(ctx, target) {
		t.Error("one that has ended is taken for listening")
	}
	// Silence, as of a partition, is no refusal.
	over, cancelNow := context.WithCancel(context.Background())
	cancelNow()
	if p.Refuses(over, target) {
		t.Error("one that was not reached in time is taken for ended")
	}
	if p.open[target] != 2 {
		t.Errorf("%d connections counted as open, want 2", p.open[target])
	}
}
