package main

import (
	"fmt"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"geraniumpass/trial"
)

const seed = 20261202

var lags = []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second}

func main() {
	app := kingpin.New("policy", "Compares routing, admission and rebalancing with baselines.")
	out := app.Flag("out", "Folder for tables and plots.").Default("out").String()
	mapsOnly := app.Flag("maps-only", "Skip the scenarios of latency targets.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	must(os.MkdirAll(*out, 0o755))
	f, err := os.Create(filepath.Join(*out, "policy.txt"))
	must(err)
	if !*mapsOnly {
		writeTargets(f)
	}
	writeGroups(f, *out)
	writeMaps(f, *out)
	must(f.Close())
	b, err := os.ReadFile(f.Name())
	must(err)
	fmt.Print(string(b))
}

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// writeTargets runs every scenario under every policy. The lag affects only policies that read load
// reports: Product and TwoChoices are run with every lag, the others, including NoAdmission, only
// with lags[1].
func writeTargets(f *os.File) {
	w := tabwriter.NewWriter(f, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SCENARIO\tLAG\tPOLICY\tUSEFUL\tCLASS\tSENT\tON TIME\tP95\tP99\tREFUSALS\tUNFAIR\tRECOVERY")
	for _, s := range trial.Scenarios() {
		for _, lag := range lags {
			for _, p := range trial.Policies {
				if lag != lags[1] && p != trial.Product && p != trial.TwoChoices {
					continue
				}
				printRows(w, trial.Run(s, p, lag, seed))
			}
		}
	}
	must(w.Flush())
}

func printRows(w *tabwriter.Writer, r trial.Result) {
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.1f\t%s\t%d\t%.3f\t%s\t%s\t%d\t%.3f\t%s\n", r.Scenario, r.Lag, r.Policy, r.Useful, c.Class, c.Sent, c.OnTime,
			c.P95.Round(time.Millisecond), c.P99.Round(time.Millisecond), c.Refusals, c.Unfairness, c.Recovery)
	}
}
