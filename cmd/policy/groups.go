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
	// groupSeeds is how many seeds each pattern is played with, groupStep the time whose callers make one row and one point.
	groupSeeds = 10
	groupStep  = 4 * time.Second
)

// groups plays the patterns before a group of ranks, with a line and without, as a table and a plot each.
func groups(f *os.File, out string) {
	w := tabwriter.NewWriter(f, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nPATTERN\tLINE\tFROM\tON TIME\tLATE\tREFUSED")
	for i, s := range trial.Patterns() {
		var curves []any
		for _, line := range []bool{false, true} {
			curves = append(curves, lineName(line), groupCurve(w, s, line))
		}
		must(drawGroup(filepath.Join(out, fmt.Sprintf("groups_%d.png", i)), s.Name, curves))
	}
	must(w.Flush())
}

func lineName(line bool) string {
	if line {
		return "with a line"
	}
	return "without"
}

// groupCurve writes the rows of one pattern and returns the share of callers on time.
func groupCurve(w *tabwriter.Writer, s *trial.GroupScenario, line bool) plotter.XYs {
	var curve plotter.XYs
	for from := time.Duration(0); from+groupStep <= s.Lasts; from += groupStep {
		onTime, late, refused := 0.0, 0.0, 0.0
		for n := range uint64(groupSeeds) {
			r := trial.RunGroup(s, line, n+1)
			a, b, c := r.Sum(trial.Span{
				From: from,
				To:   from + groupStep,
			})
			onTime += a / groupSeeds
			late += b / groupSeeds
			refused += c / groupSeeds
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.2f\t%.2f\t%.2f\n", s.Name, lineName(line), from, onTime, late, refused)
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
