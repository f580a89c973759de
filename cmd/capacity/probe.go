package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs/v2"

	"geraniumpass/deploy"
)

// clockTick is the unit of processor time in /proc/PID/stat, a hundredth of a second on Linux.
const clockTick = 10 * time.Millisecond

// reading holds the cumulative counters of a process and its resident memory in MiB.
type reading struct {
	at       time.Time
	cpu      time.Duration
	resident float64
	sent     float64
	received float64
	frames   float64
	calls    float64
	mallocs  float64
}

// usage is the resource usage of a process between two readings, as rates per second except for
// resident.
type usage struct {
	// cpu is in percent of one core, resident in MiB, bytes the link bytes per second in both
	// directions.
	cpu      float64
	resident float64
	bytes    float64
	frames   float64
	calls    float64
	mallocs  float64
}

func readProcess(p *deploy.Process) (reading, error) {
	r := reading{at: time.Now()}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return r, errs.Wrap(err)
	}
	_, rest, _ := strings.Cut(string(b), ") ")
	fields := strings.Fields(rest)
	const user, system, pages = 11, 12, 21
	ticks := parseNumber(fields[user]) + parseNumber(fields[system])
	r.cpu = time.Duration(ticks) * clockTick
	r.resident = parseNumber(fields[pages]) * float64(os.Getpagesize()) / (1 << 20)
	status, body, err := fasthttp.GetTimeout(nil, "http://"+p.Control+"/debug/vars", time.Second)
	if err != nil || status != fasthttp.StatusOK {
		return r, errs.Errorf("no expvar from %s: %v", p.ID, err)
	}
	var vars struct {
		Sent     float64 `json:"link_bytes_sent"`
		Received float64 `json:"link_bytes_received"`
		Frames   float64 `json:"link_frames_sent"`
		Calls    float64 `json:"key_value_calls"`
		Memstats struct {
			Mallocs float64 `json:"Mallocs"`
		} `json:"memstats"`
	}
	if err := json.Unmarshal(body, &vars); err != nil {
		return r, errs.Wrap(err)
	}
	r.sent, r.received, r.frames, r.calls = vars.Sent, vars.Received, vars.Frames, vars.Calls
	r.mallocs = vars.Memstats.Mallocs
	return r, nil
}

func parseNumber(s string) float64 {
	n, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0
	}
	return n
}

// measure reads the counters of a process twice, interval apart, and returns the usage between.
func measure(p *deploy.Process, interval time.Duration) (usage, error) {
	a, err := readProcess(p)
	if err != nil {
		return usage{}, err
	}
	time.Sleep(interval)
	b, err := readProcess(p)
	if err != nil {
		return usage{}, err
	}
	s := b.at.Sub(a.at).Seconds()
	return usage{
		cpu:      (b.cpu - a.cpu).Seconds() / s * 100,
		resident: b.resident,
		bytes:    (b.sent + b.received - a.sent - a.received) / s,
		frames:   (b.frames - a.frames) / s,
		calls:    (b.calls - a.calls) / s,
		mallocs:  (b.mallocs - a.mallocs) / s,
	}, nil
}
