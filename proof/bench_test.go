package proof

import (
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"geraniumpass/deploy"
)

const (
	benchRate  = 1000
	benchLasts = 4 * time.Second
)

// BenchmarkAddedLatency sends a thousand calls a second straight to a plain service and through one entry and agent, in turn.
func BenchmarkAddedLatency(b *testing.B) {
	plan := smallPlan()
	plan.Domains = plan.Domains[:1]
	plan.Entries = 1
	plan.Services[1].Servers = 1
	plan.LogLevel = "warn"
	d, err := deploy.Start(plan, deploy.Options{Binary: binary, Dir: b.TempDir()})
	if err != nil {
		b.Fatal(err)
	}
	defer d.Close()
	direct := "http://" + d.Plains[plain+"-00"].Server.Address() + "/x"
	through := "http://" + d.Entries[0].Listen + "/services/" + plain + "/x"
	for b.Loop() {
		pace(b, through, benchLasts/4)
		a := pace(b, direct, benchLasts)
		t := pace(b, through, benchLasts)
		b.ReportMetric(micros(t, 0.5)-micros(a, 0.5), "added-p50-us")
		b.ReportMetric(micros(t, 0.99)-micros(a, 0.99), "added-p99-us")
		b.ReportMetric(micros(a, 0.5), "direct-p50-us")
		b.ReportMetric(micros(a, 0.99), "direct-p99-us")
	}
}

// pace sends calls at the fixed rate and returns their times, sorted.
func pace(b *testing.B, url string, lasts time.Duration) []time.Duration {
	client := &fasthttp.Client{MaxConnsPerHost: 512}
	var mu sync.Mutex
	var took []time.Duration
	var wg sync.WaitGroup
	t := time.NewTicker(time.Second / benchRate)
	defer t.Stop()
	for end := time.Now().Add(lasts); time.Now().Before(end); <-t.C {
		wg.Go(func() {
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			defer fasthttp.ReleaseRequest(req)
			defer fasthttp.ReleaseResponse(resp)
			req.SetRequestURI(url)
			req.Header.Set("Authorization", "Bearer "+key)
			started := time.Now()
			err := client.Do(req, resp)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || resp.StatusCode() != fasthttp.StatusOK {
				b.Errorf("%v, status %d", err, resp.StatusCode())
			}
			took = append(took, time.Since(started))
		})
	}
	wg.Wait()
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	return took
}

func micros(sorted []time.Duration, q float64) float64 {
	return float64(sorted[int(q*float64(len(sorted)-1))].Microseconds())
}
