package pool

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

func TestRefusesDetectsEndedProcess(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := New(clockwork.NewRealClock())
	target := Target{Address: ln.Addr().String()}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if p.Refuses(ctx, target) || !p.Accepts(ctx, target) {
		t.Error("listening instance is reported as terminated")
	}
	if p.IdleCount(target) != 2 {
		t.Errorf("%d idle connections, want the 2 opened by the checks", p.IdleCount(target))
	}
	_ = ln.Close()
	if !p.Refuses(ctx, target) || p.Accepts(ctx, target) {
		t.Error("terminated instance is reported as listening")
	}
	// A timeout, as during a partition, is not a refusal.
	expired, cancelNow := context.WithCancel(context.Background())
	cancelNow()
	if p.Refuses(expired, target) {
		t.Error("unreachable instance is reported as terminated")
	}
	if p.open[target] != 2 {
		t.Errorf("%d connections counted as open, want 2", p.open[target])
	}
}
