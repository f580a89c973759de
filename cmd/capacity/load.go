package main

import (
	"sync"
	"time"

	"geraniumpass/caller"
	"geraniumpass/oper"
)

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
		got = append(got, r.measured(s.entries[0]))
		close(stop)
		wg.Wait()
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
		got = append(got, r.measured(s.entries[0]))
		wg.Wait()
	}
	return usual("streams of 50 tokens/s", sizes, got)
}
