package main

import (
	"sync"
	"time"

	"geraniumpass/caller"
	"geraniumpass/oper"
)

// send sends streamed requests at a fixed rate until stopped.
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
	var usages []usage
	s := r.site(1, 24, 0, fastPace, oper.File{})
	defer s.close()
	for _, n := range sizes {
		stop := make(chan struct{})
		var wg sync.WaitGroup
		wg.Go(func() { send(s, n, tokensPerRequest, stop, &wg) })
		time.Sleep(settleTime / 2)
		usages = append(usages, r.measureUsage(s.entries[0]))
		close(stop)
		wg.Wait()
	}
	return usageSeries("requests a second", sizes, usages)
}

func (r *runner) streams() []series {
	sizes := []int{50, 100, 200, 400}
	var usages []usage
	s := r.site(1, 24, 0, slowPace, oper.File{})
	defer s.close()
	for _, n := range sizes {
		var wg sync.WaitGroup
		c := &caller.Caller{
			Entry: s.listen,
			Key:   accountKey,
		}
		tokens := int((r.interval + 2*settleTime) / slowPace)
		for range n {
			wg.Go(func() { c.Completion(service, prompt, tokens, true, "") })
		}
		time.Sleep(settleTime / 2)
		usages = append(usages, r.measureUsage(s.entries[0]))
		wg.Wait()
	}
	return usageSeries("streams of 50 tokens/s", sizes, usages)
}
