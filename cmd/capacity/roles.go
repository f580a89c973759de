package main

import (
	"encoding/json"
	"fmt"
	"math"
	"runtime"
	"sync"
	"time"

	"github.com/zeebo/errs/v2"

	"geraniumpass/caller"
	"geraniumpass/config"
	"geraniumpass/deploy"
	"geraniumpass/oper"
	"geraniumpass/place"
	"geraniumpass/proto"
	"geraniumpass/setup"
	"geraniumpass/wire"
)

const (
	settle    = time.Second
	tokens    = 20
	fastPace  = time.Millisecond
	slowPace  = 20 * time.Millisecond
	rankCount = 128
)

// usual makes the usual series from what a process used at each size.
func usual(by string, sizes []int, got []used) []series {
	out := []series{
		{name: "processor", unit: "% of core", by: by},
		{name: "resident memory", unit: "MB", by: by},
		{name: "link bytes, both ways", unit: "B/s", by: by},
		{name: "frames sent", unit: "1/s", by: by},
		{name: "allocations", unit: "1/s", by: by},
	}
	for i, n := range sizes {
		for j, y := range []float64{got[i].cpu, got[i].resident, got[i].bytes, got[i].frames, got[i].mallocs} {
			out[j].points = append(out[j].points, point{x: float64(n), y: y})
		}
	}
	return out
}

func (r *runner) site(entries, agents, experts int, pace time.Duration, f oper.File) *site {
	fl, err := newFleet(agents, experts, pace)
	must(err)
	s, err := newSite(r.binary, r.dir, entries, fl, f)
	must(err)
	time.Sleep(settle)
	return s
}

func (r *runner) links() []series {
	sizes := []int{24, 48, 96, 192}
	var got []used
	for _, n := range sizes {
		s := r.site(1, n, 0, fastPace, oper.File{})
		u, err := measure(s.entries[0], r.while)
		must(err)
		got = append(got, u)
		s.close()
	}
	return usual("links", sizes, got)
}

func (r *runner) changes() []series {
	sizes := []int{0, 2, 4, 8}
	var got []used
	s := r.site(1, 48, 0, fastPace, oper.File{})
	defer s.close()
	for _, n := range sizes {
		stop := make(chan struct{})
		var wg sync.WaitGroup
		if n > 0 {
			wg.Go(func() { r.changeAt(s, n, stop) })
		}
		u, err := measure(s.entries[0], r.while)
		must(err)
		close(stop)
		wg.Wait()
		got = append(got, u)
	}
	return usual("changes a second", sizes, got)
}

func (r *runner) changeAt(s *site, perSecond int, stop chan struct{}) {
	t := time.NewTicker(time.Second / time.Duration(perSecond))
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-t.C:
			must(s.retarget(perSecond*1000 + n))
		}
	}
}

// send keeps a pace of streamed requests up until stopped.
func send(s *site, perSecond int, n int, stop chan struct{}, wg *sync.WaitGroup) {
	t := time.NewTicker(time.Second / time.Duration(perSecond))
	defer t.Stop()
	c := &caller.Caller{
		Entry: s.listen,
		Key:   accountKey,
	}
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			wg.Go(func() { c.Completion(service, prompt, n, true, "") })
		}
	}
}

func (r *runner) requests() []series {
	sizes := []int{50, 100, 200, 400}
	var got []used
	s := r.site(1, 24, 0, fastPace, oper.File{})
	defer s.close()
	for _, n := range sizes {
		stop := make(chan struct{})
		var wg sync.WaitGroup
		wg.Go(func() { send(s, n, tokens, stop, &wg) })
		time.Sleep(settle / 2)
		u, err := measure(s.entries[0], r.while)
		must(err)
		close(stop)
		wg.Wait()
		got = append(got, u)
	}
	return usual("requests a second", sizes, got)
}

func (r *runner) streams() []series {
	sizes := []int{50, 100, 200, 400}
	var got []used
	s := r.site(1, 24, 0, slowPace, oper.File{})
	defer s.close()
	for _, n := range sizes {
		var wg sync.WaitGroup
		c := &caller.Caller{
			Entry: s.listen,
			Key:   accountKey,
		}
		count := int((r.while + 2*settle) / slowPace)
		for range n {
			wg.Go(func() { c.Completion(service, prompt, count, true, "") })
		}
		time.Sleep(settle / 2)
		u, err := measure(s.entries[0], r.while)
		must(err)
		wg.Wait()
		got = append(got, u)
	}
	return usual("streams of 50 tokens/s", sizes, got)
}

func (r *runner) ranks() []series {
	sizes := []int{64, 96, 128, 192, 256}
	var got []used
	for _, n := range sizes {
		s := r.site(1, n, rankCount, fastPace, oper.File{
			Groups: []config.Group{{
				Name:         groupName,
				Skew:         0.1,
				MovesPerHour: 1,
			}},
		})
		must(deploy.Until("the entry to lead", readyTime, func() bool {
			st, err := s.operator(0).Status()
			return err == nil && len(st.Groups) == 1 && st.Groups[0].Leading
		}))
		u, err := measure(s.entries[0], r.while)
		must(err)
		got = append(got, u)
		s.close()
	}
	return usual("ranks, each a link", sizes, got)
}

func (r *runner) agentLinks() []series {
	sizes := []int{9, 36, 72, 144}
	var got []used
	for _, n := range sizes {
		address, err := deploy.FreeAddress()
		must(err)
		p, err := deploy.Launch(r.binary, r.dir, fmt.Sprintf("agent-%d", n), "agent", address, setup.Agent{
			Role:    "agent",
			ID:      "agent",
			Domain:  domain,
			Listen:  address,
			LinkKey: linkKey,
			Upstream: setup.Upstream{
				Service: service,
				Kind:    "plain",
				Address: address,
			},
			Log: setup.Log{Level: "error"},
		})
		must(err)
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() { beat(address, i, stop) })
		}
		time.Sleep(2 * settle)
		u, err := measure(p, r.while)
		must(err)
		got = append(got, u)
		close(stop)
		wg.Wait()
		p.Kill()
	}
	return usual("links", sizes, got)
}

// beat holds one link with heartbeats as an entry does.
func beat(address string, i int, stop chan struct{}) {
	var l *wire.Link
	must(deploy.Until("the agent to take a link", readyTime, func() bool {
		var err error
		l, err = wire.Dial(address, wire.Identity{
			ID:          fmt.Sprintf("entry-%03d", i),
			Role:        wire.RoleEntry,
			Incarnation: 1,
		}, []byte(linkKey))
		return err == nil
	}))
	go func() { _ = l.Receive(func(*proto.Frame) {}) }()
	t := time.NewTicker(500 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-stop:
			l.Close()
			return
		case <-t.C:
			_ = l.Send(&proto.Frame{Heartbeat: &proto.Heartbeat{Floor: 1}})
		}
	}
}

func (r *runner) entries() []series {
	sizes := []int{1, 2, 4, 8}
	reads := series{name: "reads, watches among them", unit: "1/s", by: "entries"}
	writes := series{name: "writes", unit: "1/s", by: "entries"}
	for _, n := range sizes {
		s := r.site(n, 6, 0, fastPace, oper.File{})
		r0, w0 := s.kv.Calls()
		started := time.Now()
		time.Sleep(2 * r.while)
		r1, w1 := s.kv.Calls()
		sec := time.Since(started).Seconds()
		reads.points = append(reads.points, point{x: float64(n), y: float64(r1-r0) / sec})
		writes.points = append(writes.points, point{x: float64(n), y: float64(w1-w0) / sec})
		s.close()
	}
	return []series{reads, writes}
}

func (r *runner) document() []series {
	size := series{name: "document", unit: "bytes", by: "accounts"}
	lookup := series{name: "finding an account and a class", unit: "ns", by: "accounts"}
	classSize := series{name: "document", unit: "bytes", by: "classes"}
	recordSize := series{name: "document", unit: "bytes", by: "records in it"}
	for _, n := range []int{10, 55, 110, 220} {
		doc := documentOf(n, 20, 1)
		size.points = append(size.points, point{x: float64(n), y: encoded(doc)})
		key := doc.Accounts[n-1].KeySHA256[0]
		const rounds = 20000
		started := time.Now()
		for range rounds {
			a, _ := doc.AccountOf(key)
			doc.Classify(service, a.Name, "")
		}
		lookup.points = append(lookup.points, point{x: float64(n), y: float64(time.Since(started).Nanoseconds()) / rounds})
	}
	for _, n := range []int{5, 10, 20, 40} {
		classSize.points = append(classSize.points, point{x: float64(n), y: encoded(documentOf(10, n, 1))})
	}
	for _, n := range []int{32, 64, 128, 256} {
		recordSize.points = append(recordSize.points, point{x: float64(n), y: encoded(documentOf(10, 20, n))})
	}
	return []series{size, classSize, recordSize, lookup}
}

func documentOf(accounts, classes, records int) *config.Document {
	doc := &config.Document{}
	for i := range accounts {
		doc.Accounts = append(doc.Accounts, config.Account{
			Name:      fmt.Sprintf("client-account-%03d", i),
			KeySHA256: []string{oper.HashKey(fmt.Sprint(i))},
		})
	}
	for i := range classes {
		doc.Classes = append(doc.Classes, config.Class{
			Name:  fmt.Sprintf("class-%03d", i),
			Match: config.Match{Services: []string{"some-model"}, Label: "label"},
			Target: config.Target{
				Measure: config.MeasureFirstToken,
				Within:  setup.Duration{Duration: time.Second},
				Percent: 95,
			},
		})
	}
	target := doc.Classes[0].Target
	for i := range records {
		doc.Records = append(doc.Records, config.Record{
			ID:       "0f8fad5b-d9cb-469f-a165-70867728950e",
			Revision: uint64(i + 1),
			Who:      "an operator",
			At:       time.Unix(1_800_000_000, 0).UTC(),
			Note:     "school week",
			Ops: []config.Op{{
				Kind:   config.OpSetTarget,
				Name:   "class-000",
				Target: &target,
			}},
		})
	}
	return doc
}

func encoded(v any) float64 {
	b, err := json.Marshal(v)
	must(errs.Wrap(err))
	return float64(len(b))
}

func (r *runner) placement() []series {
	improve := series{name: "improving a placement, 128 experts", unit: "ms", by: "ranks"}
	for _, n := range []int{64, 96, 128, 192, 256} {
		load := make([]float64, rankCount)
		for e := range load {
			load[e] = 1000 / math.Pow(float64(e+1), 0.8)
		}
		p := place.Even(rankCount, n, slotsARank)
		runtime.GC()
		const rounds = 20
		started := time.Now()
		for range rounds {
			place.Improve(p, load, 0.1, 64)
		}
		improve.points = append(improve.points, point{x: float64(n), y: time.Since(started).Seconds() * 1000 / rounds})
	}
	return []series{improve}
}
