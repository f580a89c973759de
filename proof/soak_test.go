package proof

import (
	"testing"
	"time"

	"geraniumpass/chaos"
	"geraniumpass/deploy"
)

// TestShortSoak runs the first 10 fault events of a fixed seed; "make soak" runs more seeds.
func TestShortSoak(t *testing.T) {
	d := launch(t, groupPlan(false), deploy.Options{})
	driftPopularity(t, d.Groups[groupName])
	report, err := chaos.Run(d, chaos.Options{
		Seed:    20261202,
		Events:  10,
		Pause:   500 * time.Millisecond,
		Callers: 12,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("verdicts %v, %d configuration changes accepted, events %q", report.Verdicts, report.Accepted, report.Events)
}
