package proof

import (
	"testing"
	"time"

	"geraniumpass/chaos"
	"geraniumpass/deploy"
)

// TestShortSoak plays the first events of a fixed seed; make soak goes on with others.
func TestShortSoak(t *testing.T) {
	d := launch(t, groupPlan(false), deploy.Options{})
	drift(t, d.Groups[groupName])
	report, err := chaos.Run(d, chaos.Options{
		Seed:    20261202,
		Events:  10,
		Pause:   500 * time.Millisecond,
		Callers: 12,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%v, %d changes accepted, events %q", report.Verdicts, report.Accepted, report.Events)
}
