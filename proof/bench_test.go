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
	benchCallsPerSecond = 1000
	benchDuration       = 4 * time.Second
)

// BenchmarkAddedLatency sends 1000 calls per second to a plain service, first directly and then
// through one entry and one agent, and reports the difference in latency.
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
	directURL := "http://" + d.Plains[plain+"-00"].Server.Address() + "/x"
	routedURL := "http://" + d.Entries[0].Listen + "/services/" + plain + "/x"
	for b.Loop() {
		measureLatencies(b, routedURL, benchDuration/4)
		direct := measureLatencies(b, directURL, benchDuration)
		routed := measureLatencies(b, routedURL, benchDuration)
		b.ReportMetric(quantileMicros(routed, 0.5)-quantileMicros(direct, 0.5), "added-p50-us")
		b.ReportMetric(quantileMicros(routed, 0.99)-quantileMicros(direct, 0.99), "added-p99-us")
		b.ReportMetric(quantileMicros(direct, 0.5), "direct-p50-us")
		b.ReportMetric(quantileMicros(direct, 0.99), "direct-p99-us")
	}
}

// measureLatencies sends benchCallsPerSecond calls per second and returns their latencies in
// ascending order.
func measureLatencies(b *testing.B, url string, duration time.Duration) []time.Duration {
	client := &fasthttp.Client{MaxConnsPerHost: 512}
	var mu sync.Mutex
	var latencies []time.Duration
	var wg sync.WaitGroup
	t := time.NewTicker(time.Second / benchCallsPerSecond)
	defer t.Stop()
	for end := time.Now().Add(duration); time.Now().Before(end); <-t.C {
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
			latencies = append(latencies, time.Since(started))
		})
	}
	wg.Wait()
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	return latencies
}

func quantileMicros(sorted []time.Duration, q float64) float64 {
	return float64(sorted[int(q*float64(len(sorted)-1))].Microseconds())
}
