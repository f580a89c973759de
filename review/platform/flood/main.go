// Command flood shows whether gateways survive a server that answers some calls with bytes that are not a
// response.
package main

import (
	"flag"
	"fmt"
	"os"
	"sync"
	"time"

	"geraniumpass/review/platform/base"
)

const (
	gateways = 3
	// faultyEvery is one in how many calls to the faulty server it answers with wrong bytes.
	faultyEvery = 50
	// defaultRate is how many MiB of wrong bytes the server sends a second: half of the 1,000 Mbit/s of a front
	// machine's link.
	defaultRate = 60
	// bodyBytes is the size of a call's body.
	bodyBytes = 600
	// pause is the time between two calls of a client.
	pause = 900 * time.Millisecond
)

type options struct {
	record  string
	trouble bool
	clients int
	lasts   time.Duration
	rate    int
}

func main() {
	var o options
	flag.StringVar(&o.record, "record", "record.txt", "file to write")
	flag.IntVar(&o.clients, "clients", 84, "clients, each with about one call a second")
	flag.IntVar(&o.rate, "rate", defaultRate, "MiB of wrong bytes a second")
	flag.DurationVar(&o.lasts, "lasts", 60*time.Second, "how long calls are sent")
	flag.Parse()
	o.trouble = os.Getenv("TROUBLE") != "0"
	code, err := run(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(base.ExitFailed)
	}
	os.Exit(code)
}

func run(o options) (int, error) {
	rec, err := base.NewRecord(o.record)
	if err != nil {
		return base.ExitFailed, err
	}
	defer rec.Close()
	p, err := base.StartPortal(rec, gateways, func(i int, u *base.Upstream) {
		if i == 0 && o.trouble {
			u.SetFlood(faultyEvery, o.rate<<20)
		}
	})
	if err != nil {
		return base.ExitFailed, err
	}
	defer p.Close()
	rec.Printf("trouble %t, %d gateways of %d MB, %d clients; one answer in %d of i-0 is wrong, %d MiB a second", o.trouble, gateways, base.PortalMemoryMB, o.clients, faultyEvery, o.rate)
	var all sync.WaitGroup
	done := make(chan struct{})
	for c := range o.clients {
		all.Add(1)
		go func() {
			defer all.Done()
			time.Sleep(time.Second * time.Duration(c) / time.Duration(o.clients))
			call(p, c, done)
		}()
	}
	time.Sleep(o.lasts)
	close(done)
	all.Wait()
	return p.Judge(), nil
}

// call sends the calls of one client over channels that it keeps.
func call(p *base.Portal, client int, done <-chan struct{}) {
	var ch *base.Channel
	defer func() { ch.Close() }()
	for {
		select {
		case <-done:
			return
		case <-time.After(pause):
		}
		if ch == nil {
			if ch = p.Calls.Dial(p.Gateways[client%gateways]); ch == nil {
				continue
			}
		}
		if !p.Calls.Exchange(ch, client, bodyBytes, 0) {
			ch.Close()
			ch = nil
		}
	}
}
