package gate_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"geraniumpass/platform/emul"
)

// TestRequestThatLeftIsNotSaidNotToHaveRun guards against an answer that promises that a request has not
// run although it left an instance that was running it, when the next instance refuses it. A stream that
// has begun ends without looking complete.
func TestRequestThatLeftIsNotSaidNotToHaveRun(t *testing.T) {
	tests := []struct {
		name string
		// hangAfter is the number of events after which the first server falls silent.
		hangAfter int64
		want      string
	}{
		{name: "before the first event", want: "502 Bad Gateway\n"},
		{name: "within a stream", hangAfter: 2, want: "200 OK\n" + emul.Event("r-1", 0) + emul.Event("r-1", 1) + io.ErrUnexpectedEOF.Error()},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newRelocationSite(t, 50)
			for _, srv := range s.servers {
				if tt.hangAfter == 0 {
					srv.SetMode(emul.ModeHang)
				}
				srv.HangAfter(tt.hangAfter)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			own, answered := s.start(ctx, "/flow/x")
			s.servers[1-own].SetMode(emul.ModeShed)
			go s.report(ctx, own, stall)
			if got := <-answered; !strings.HasPrefix(got, tt.want) {
				t.Errorf("the caller got %q, want %q", got, tt.want)
			}
			if n := s.servers[1-own].Arrivals(); n != 1 {
				t.Errorf("%d requests at the other server, want one that it refuses", n)
			}
		})
	}
}
