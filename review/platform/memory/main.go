// Command memory shows whether a gateway survives the calls of all clients, each within the limits of the
// manifest, when the platform hands most new channels to it.
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
	gateways = 9
	// shortBytes is the size of a short call's body.
	shortBytes = 600
	// pause is the time between two short calls of a client.
	pause = 400 * time.Millisecond
	// wavePause is the time between two long bodies of a client, and stagger that between two clients.
	wavePause = time.Second
	stagger   = 5 * time.Millisecond
	// lastWait is how long short calls go on after the last long body.
	lastWait = 2 * time.Second
)

type options struct {
	record  string
	trouble bool
	callers int
	senders int
	upload  time.Duration
	waves   int
}

func main() {
	var o options
	flag.StringVar(&o.record, "record", "record.txt", "file to write")
	flag.IntVar(&o.callers, "callers", 38, "clients that send short calls")
	flag.IntVar(&o.senders, "senders", 60, "clients that send long bodies")
	flag.DurationVar(&o.upload, "upload", 2200*time.Millisecond, "how long a client takes to send a long body")
	flag.IntVar(&o.waves, "waves", 3, "how often the long bodies are sent")
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
	p, err := base.StartPortal(rec, gateways, nil)
	if err != nil {
		return base.ExitFailed, err
	}
	defer p.Close()
	rec.Printf("trouble %t, %d gateways of %d MB, %d clients with short calls, %d with bodies of %d bytes", o.trouble, gateways, base.PortalMemoryMB, o.callers, o.senders, base.PortalBodyBytes)
	var callers, senders sync.WaitGroup
	done := make(chan struct{})
	for c := range o.callers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			time.Sleep(time.Second * time.Duration(c) / time.Duration(o.callers))
			callShort(p, gatewayOf(p, o, c), c, done)
		}()
	}
	for c := range o.senders {
		senders.Add(1)
		go func() {
			defer senders.Done()
			for range o.waves {
				time.Sleep(wavePause + time.Duration(c)*stagger)
				sendLong(p, gatewayOf(p, o, o.callers+c), o.callers+c, o.upload)
			}
		}()
	}
	senders.Wait()
	time.Sleep(lastWait)
	close(done)
	callers.Wait()
	return p.Judge(), nil
}

// gatewayOf returns the gateway to which the platform hands a client's channel.
func gatewayOf(p *base.Portal, o options, client int) *base.Gateway {
	if o.trouble {
		return p.Gateways[0]
	}
	return p.Gateways[client%gateways]
}

// callShort sends short calls over channels that the client keeps.
func callShort(p *base.Portal, g *base.Gateway, client int, done <-chan struct{}) {
	var ch *base.Channel
	defer func() { ch.Close() }()
	for {
		select {
		case <-done:
			return
		case <-time.After(pause):
		}
		if ch == nil {
			if ch = p.Calls.Dial(g); ch == nil {
				continue
			}
		}
		if !p.Calls.Exchange(ch, client, shortBytes, 0) {
			ch.Close()
			ch = nil
		}
	}
}

// sendLong sends a short call and then one with a long body over the same channel.
func sendLong(p *base.Portal, g *base.Gateway, client int, over time.Duration) {
	ch := p.Calls.Dial(g)
	if ch == nil {
		return
	}
	defer ch.Close()
	if p.Calls.Exchange(ch, client, shortBytes, 0) {
		p.Calls.Exchange(ch, client, base.PortalBodyBytes, over)
	}
}
