package main

import (
	"fmt"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"geraniumpass/place"
	"geraniumpass/trial"
)

const (
	plotWidth      = 18 * vg.Centimeter
	plotHeight     = 12 * vg.Centimeter
	secondsPerHour = 3600
)

// mapPolicies holds timers, the targets of the two users and further targets that complete the
// curve.
var mapPolicies = []trial.MapPolicy{
	{Name: "never"},
	{Name: "timer 60s, full", Timer: time.Minute},
	{Name: "timer 60s, improve", Timer: time.Minute, TimerImproves: true},
	{Name: "timer 10s, improve", Timer: 10 * time.Second, TimerImproves: true},
	{Name: "reverbline", Target: &place.Target{Skew: 0.1, MovesPerHour: 600}},
	{Name: "skew 0.2, 200 an hour", Target: &place.Target{Skew: 0.2, MovesPerHour: 200}},
	{Name: "trinidad", Target: &place.Target{Skew: 0.3, MovesPerHour: 60, HoldInSurge: true}},
	{Name: "skew 0.5, 20 an hour", Target: &place.Target{Skew: 0.5, MovesPerHour: 20}},
}

// writeMaps runs the drift scenarios and plots skew against cost for each.
func writeMaps(f *os.File, out string) {
	w := tabwriter.NewWriter(f, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nDRIFT\tPOLICY\tSKEW P50\tSKEW P95\tSPREAD P95\tCOPIES/H\tSWITCHES\tIN SURGE\tLONGEST DECISION")
	for i, s := range trial.MapScenarios() {
		points := make(plotter.XYs, 0, len(mapPolicies))
		names := make([]string, 0, len(mapPolicies))
		for _, p := range mapPolicies {
			r := trial.RunMaps(s, p, seed)
			cost := float64(r.Copies) / s.Duration.Seconds() * secondsPerHour
			fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.0f\t%d\t%d\t%s\n", r.Scenario, r.Policy, r.SkewP50, r.SkewP95, r.SpreadP95, cost, r.Switches, r.SwitchesInSurge, r.LongestDecision.Round(10*time.Microsecond))
			points = append(points, plotter.XY{X: cost, Y: r.SkewP95})
			names = append(names, p.Name)
		}
		must(drawMaps(filepath.Join(out, fmt.Sprintf("maps_%d.png", i)), s.Name, points, names))
	}
	must(w.Flush())
}

func drawMaps(file, title string, points plotter.XYs, names []string) error {
	p := plot.New()
	p.Title.Text = "Skew against cost: " + title
	p.X.Label.Text = "expert copies an hour"
	p.Y.Label.Text = "load of the slowest rank above the mean, p95"
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	labels, err := plotter.NewLabels(plotter.XYLabels{
		XYs:    points,
		Labels: names,
	})
	if err != nil {
		return err
	}
	p.Add(plotter.NewGrid(), scatter, labels)
	return p.Save(plotWidth, plotHeight, file)
}
