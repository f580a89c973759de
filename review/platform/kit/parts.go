package kit

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"geraniumpass/platform/emul"
)

// FatalPart is the part of prompts that crashes the servers.
const FatalPart = "bad0001"

// The rule: after the crash number crashLimit and the stable window, more than arrivalLimit requests with
// the part reach servers.
const (
	crashLimit   = 5
	arrivalLimit = 3
)

const (
	partHost    = "hall.example"
	partKey     = "key-of-acme"
	partService = "geranium-lm"
	// partDelay is how long a server runs a request with the part before it crashes.
	partDelay = 20 * time.Millisecond
)

// Parts is a run in which one part of the prompts crashes the servers.
type Parts struct {
	Gateways int
	Servers  int
	// Sound requests come throughout the run, those with the part from FatalFrom on.
	SoundEvery time.Duration
	FatalEvery time.Duration
	FatalFrom  time.Duration
	Length     time.Duration
	// SoundPrefix and FatalPrefix return the parts of the prompt of a request.
	SoundPrefix func(i int) string
	FatalPrefix func(i int) string
}

// tally is what the clients got.
type tally struct {
	sound, soundWhole, fatal atomic.Int64
}

// Run plays the run and returns the exit status of the script.
func (p *Parts) Run(binary, dir, recordFile string) int {
	rec, err := NewRecord(recordFile)
	if err != nil {
		fmt.Println(err)
		return NotRun
	}
	st := emul.NewStore("127.0.0.1:0")
	if err := st.Server.Start(); err != nil {
		rec.Say("store: %v", err)
		return NotRun
	}
	defer st.Close()
	site := NewFrails(st, rec, partService)
	defer site.Close()
	err = site.Start(p.Servers)
	if err == nil {
		err = st.Put("op/config", partManifest())
	}
	if err != nil {
		rec.Say("stand-ins: %v", err)
		return NotRun
	}
	list, err := Gateways(binary, dir, st.Server.Address(), p.Gateways)
	defer StopAll(list)
	if err != nil {
		rec.Say("gateways: %v", err)
		return NotRun
	}
	if Trouble() {
		for _, s := range site.List {
			s.CrashOnSegment(FatalPart, partDelay)
		}
	}
	t := p.traffic(rec, list)
	for _, g := range list {
		if !g.Running() {
			rec.Say("%s ended by itself", g.Name)
			return NotRun
		}
	}
	return checkParts(rec, site, t)
}

func partManifest() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "hall-query", "host": partHost, "prefix": "/hall/", "kind": "streaming", "streamResume": true, "service": partService,
			"attempts": 2, "timeoutMs": 8000, "targetLatencyMs": 400, "targetGapMs": 120, "priority": 1,
		}},
		"services": []map[string]any{{"name": partService, "maxConnections": 258, "engine": map[string]any{"slots": 12}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
		"tenants":  []map[string]any{{"name": "acme", "apiKeys": []string{partKey}}},
	}
}

// traffic sends the requests and waits for their answers.
func (p *Parts) traffic(rec *Record, list []*Gateway) *tally {
	t := &tally{}
	var wg sync.WaitGroup
	began := time.Now()
	send := func(i int, kind, prefix string) {
		g := list[rand.IntN(len(list))]
		c := Call{
			ID:   fmt.Sprintf("%s/%s-%d", g.Name, kind, i),
			Path: "/hall/q",
			Host: partHost,
			Key:  partKey,
			Body: fmt.Sprintf("%s prompt %d", kind, i),
			Header: map[string]string{
				"X-Model": "m", "X-Token-Usage": "714,156", "X-Deadline-Ms": "8000", "X-Prompt-Prefix": prefix,
			},
			Timeout: 8 * time.Second,
		}
		wg.Go(func() {
			rec.Add("sent %s", c.ID)
			r := c.Send(g.Front)
			rec.Add("answered %s: status %d, %d bytes, error %v", c.ID, r.Status, len(r.Body), r.Err)
			if kind == "fatal" {
				t.fatal.Add(1)
				return
			}
			t.sound.Add(1)
			if r.Status == 200 && r.Err == nil {
				t.soundWhole.Add(1)
			}
		})
	}
	wg.Go(func() {
		for i := 0; time.Since(began) < p.Length; i++ {
			send(i, "sound", p.SoundPrefix(i))
			time.Sleep(p.SoundEvery)
		}
	})
	time.Sleep(p.FatalFrom)
	for i := 0; time.Since(began) < p.Length; i++ {
		send(i, "fatal", p.FatalPrefix(i))
		time.Sleep(p.FatalEvery)
	}
	wg.Wait()
	return t
}

// checkParts applies the rule.
func checkParts(rec *Record, site *Frails, t *tally) int {
	crashes := site.Crashes()
	rec.Say("sent: %d sound requests, %d of them answered in full; %d requests with the part; %d crashes of servers",
		t.sound.Load(), t.soundWhole.Load(), t.fatal.Load(), len(crashes))
	if len(crashes) < crashLimit {
		rec.Say("held: fewer than %d crashes", crashLimit)
		return Held
	}
	fifth := crashes[crashLimit-1]
	late := 0
	for _, s := range site.List {
		for _, a := range s.FatalArrivals() {
			if a.At.After(fifth.Add(StableWindow)) {
				late++
				rec.Add("late: %s reached a server at %.3f s", a.ID, a.At.Sub(rec.Began).Seconds())
			}
		}
	}
	rec.Say("fifth crash at %.1f s; %d requests with the part reached servers later than 3 s after it, %d are allowed",
		fifth.Sub(rec.Began).Seconds(), late, arrivalLimit)
	if late > arrivalLimit {
		rec.Say("BROKEN: BUDGET")
		return Broken
	}
	rec.Say("held")
	return Held
}
