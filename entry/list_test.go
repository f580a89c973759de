package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestEndlessInstanceListIsGivenUp guards against an entry that is killed because the platform's instance list has
// no end, and against a bound that turns the list of a large fleet away.
func TestEndlessInstanceListIsGivenUp(t *testing.T) {
	const whole = 64 << 20
	var sent atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		block := []byte(strings.Repeat(" ", 64<<10))
		for sent.Load() < whole {
			if _, err := w.Write(block); err != nil {
				return
			}
			sent.Add(int64(len(block)))
		}
	}))
	defer srv.Close()
	began := time.Now()
	if _, err := (&HTTPLister{Address: srv.Listener.Addr().String()}).List(context.Background()); err == nil {
		t.Error("a list without an end was read")
	}
	if took := time.Since(began); took > 2*listTimeout {
		t.Errorf("gave up after %v", took)
	}
	if n := sent.Load(); n >= whole {
		t.Errorf("%d bytes were read", n)
	}
	rows := strings.Repeat(`{"id":"upstream-with-a-long-name","address":"10.10.10.10:10000"},`, 20000)
	large := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("[" + strings.TrimSuffix(rows, ",") + "]"))
	}))
	defer large.Close()
	list, err := (&HTTPLister{Address: large.Listener.Addr().String()}).List(context.Background())
	if err != nil || len(list) != 20000 {
		t.Errorf("%d instances, %v", len(list), err)
	}
}
