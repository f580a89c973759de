package main

import (
	"sync"
	"time"

	"geraniumpass/config"
	"geraniumpass/deploy"
	"geraniumpass/oper"
)

func (r *runner) links() []series {
	sizes := []int{24, 48, 96, 192}
	var usages []usage
	for _, n := range sizes {
		s := r.site(1, n, 0, fastPace, oper.File{})
		usages = append(usages, r.measureUsage(s.entries[0]))
		s.close()
	}
	return usageSeries("links", sizes, usages)
}

func (r *runner) changes() []series {
	sizes := []int{0, 2, 4, 8}
	var usages []usage
	s := r.site(1, 48, 0, fastPace, oper.File{})
	defer s.close()
	for _, n := range sizes {
		stop := make(chan struct{})
		var wg sync.WaitGroup
		if n > 0 {
			wg.Go(func() { r.changePeriodically(s, n, stop) })
		}
		usages = append(usages, r.measureUsage(s.entries[0]))
		close(stop)
		wg.Wait()
	}
	return usageSeries("changes a second", sizes, usages)
}

func (r *runner) changePeriodically(s *site, perSecond int, stop chan struct{}) {
	t := time.NewTicker(time.Second / time.Duration(perSecond))
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-t.C:
			must(s.changeTarget(perSecond*1000 + n))
		}
	}
}

func (r *runner) ranks() []series {
	sizes := []int{64, 96, 128, 192, 256}
	var usages []usage
	for _, n := range sizes {
		s := r.site(1, n, expertCount, fastPace, oper.File{
			Groups: []config.Group{{
				Name:         groupName,
				Skew:         0.1,
				MovesPerHour: 1,
			}},
		})
		must(deploy.Until("the entry to lead its group", readyTimeout, func() bool {
			st, err := s.operator(0).Status()
			return err == nil && len(st.Groups) == 1 && st.Groups[0].Leading
		}))
		usages = append(usages, r.measureUsage(s.entries[0]))
		s.close()
	}
	return usageSeries("ranks, each a link", sizes, usages)
}

func (r *runner) entries() []series {
	sizes := []int{1, 2, 4, 8}
	reads := series{name: "reads, watches among them", unit: "1/s", variable: "entries"}
	writes := series{name: "writes", unit: "1/s", variable: "entries"}
	for _, n := range sizes {
		s := r.site(n, 6, 0, fastPace, oper.File{})
		r0, w0 := s.kv.Calls()
		started := time.Now()
		time.Sleep(2 * r.interval)
		r1, w1 := s.kv.Calls()
		sec := time.Since(started).Seconds()
		reads.points = append(reads.points, point{x: float64(n), y: float64(r1-r0) / sec})
		writes.points = append(writes.points, point{x: float64(n), y: float64(w1-w0) / sec})
		s.close()
	}
	return []series{reads, writes}
}
