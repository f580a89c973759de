package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// runner holds the parameters shared by all measurements.
type runner struct {
	binary   string
	dir      string
	interval time.Duration
}

func main() {
	app := kingpin.New("capacity", "Measures how the load of each role grows with the size of a deployment.")
	binary := app.Flag("binary", "Path of the geraniumpass binary.").Required().ExistingFile()
	interval := app.Flag("while", "Duration of the measurement of each size.").Default("4s").Duration()
	only := app.Flag("only", "Run only the measurements whose title matches this regular expression.").Default(".").Regexp()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	dir, err := os.MkdirTemp("", "geraniumpass-capacity-")
	must(err)
	defer func() { _ = os.RemoveAll(dir) }()
	r := &runner{
		binary:   *binary,
		dir:      dir,
		interval: *interval,
	}
	started := time.Now()
	for _, m := range []struct {
		title string
		run   func() []series
	}{
		{title: "entry: links to agents (agents in one process, entry a process of its own)", run: r.links},
		{title: "entry: changes of the configuration, 48 links", run: r.changes},
		{title: "entry: streamed requests, 24 agents, 20 tokens each", run: r.requests},
		{title: "entry: streams in flight, 24 agents", run: r.streams},
		{title: "entry leading a group: ranks, 128 experts (ranks in one process)", run: r.ranks},
		{title: "agent: links from entries (links from this process, agent a process of its own)", run: r.agentLinks},
		{title: "key-value service: entries (processes)", run: r.entries},
		{title: "configuration: accounts and classes (in this process)", run: r.document},
		{title: "placement: ranks and experts (in this process)", run: r.placement},
	} {
		if !(*only).MatchString(m.title) {
			continue
		}
		fmt.Println("\n" + m.title)
		for _, s := range m.run() {
			s.print(os.Stdout)
		}
	}
	fmt.Printf("\ntook %s\n", time.Since(started).Round(time.Second))
}
