package main

import (
	"fmt"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"

	"geraniumpass/trial"
)

const (
	// groupSeeds is the number of seeds per scenario, groupInterval the width of one table row and
	// plot point.
	groupSeeds    = 10
	groupInterval = 4 * time.Second
)

// writeGroups runs the group scenarios with and without admission control and writes a table and
// one plot per scenario.
func writeGroups(f *os.File, out string) {
	w := tabwriter.NewWriter(f, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nPATTERN\tLINE\tFROM\tON TIME\tLATE\tREFUSED")
	for i, s := range trial.GroupScenarios() {
		var curves []any
		for _, admission := range []bool{false, true} {
			curves = append(curves, admissionLabel(admission), writeGroupRows(w, s, admission))
		}
		must(drawGroup(filepath.Join(out, fmt.Sprintf("groups_%d.png", i)), s.Name, curves))
	}
	must(w.Flush())
}

func admissionLabel(admission bool) string {
	if admission {
		return "with a line"
	}
	return "without"
}

// writeGroupRows writes the rows of one scenario and returns the share of callers on time.
func writeGroupRows(w *tabwriter.Writer, s *trial.GroupScenario, admission bool) plotter.XYs {
	var curve plotter.XYs
	for from := time.Duration(0); from+groupInterval <= s.Duration; from += groupInterval {
		onTime, late, refused := 0.0, 0.0, 0.0
		for n := range uint64(groupSeeds) {
			r := trial.RunGroup(s, admission, n+1)
			a, b, c := r.Shares(trial.Span{
				From: from,
				To:   from + groupInterval,
			})
			onTime += a / groupSeeds
			late += b / groupSeeds
			refused += c / groupSeeds
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.2f\t%.2f\t%.2f\n", s.Name, admissionLabel(admission), from, onTime, late, refused)
		curve = append(curve, plotter.XY{
			X: from.Seconds(),
			Y: onTime,
		})
	}
	return curve
}

func drawGroup(file, title string, curves []any) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "callers served on time"
	if err := plotutil.AddLinePoints(p, curves...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, file)
}
