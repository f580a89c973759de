package proof

import (
	"fmt"
	"strings"
	"testing"

	"github.com/samber/lo"

	"geraniumpass/caller"
	"geraniumpass/deploy"
	"geraniumpass/stand"
)

func TestGracefulStopCompletesRequests(t *testing.T) {
	tests := []struct {
		name string
		stop func(t *testing.T, d *deploy.Deployment) []*deploy.Process
	}{
		{name: "an entry", stop: func(_ *testing.T, d *deploy.Deployment) []*deploy.Process {
			return []*deploy.Process{d.Entries[0]}
		}},
		{name: "an agent", stop: func(_ *testing.T, d *deploy.Deployment) []*deploy.Process {
			return []*deploy.Process{d.Agents[model+"-00"], d.Agents[plain+"-00"]}
		}},
		{name: "entry and agents at once", stop: func(_ *testing.T, d *deploy.Deployment) []*deploy.Process {
			return []*deploy.Process{d.Entries[1], d.Agents[model+"-01"], d.Agents[plain+"-01"]}
		}},
		{name: "an entry during a cut to an agent", stop: func(_ *testing.T, d *deploy.Deployment) []*deploy.Process {
			d.AgentRelays[d.Entries[2].Domain][model+"-02"].Set(stand.RelayFault{Cut: true})
			return []*deploy.Process{d.Entries[2]}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			d := launch(t, smallPlan(), deploy.Options{})
			l := startLoad(12, func(s, n int) sentRequest {
				probe := fmt.Sprintf("stop-%d-%d", s, n)
				if s%3 == 0 {
					return postBooking(d, s+n, "?ms=300", "booking-"+probe, "")
				}
				// These streams last about one second, much longer than a typical call.
				return sentRequest{
					probe:  probe,
					result: newCaller(d, s+n).Completion(model, probe, 250, true, probe),
				}
			})
			l.waitForMore(t, 30)
			eventually(t, "more than 3 streams to run", func() bool {
				n := int64(0)
				for _, e := range d.Engines {
					n += e.Running()
				}
				return n > 3
			})
			stopped := tt.stop(t, d)
			for _, p := range stopped {
				p.Terminate()
			}
			for _, p := range stopped {
				eventually(t, p.ID+" to exit", func() bool { return !p.Running() })
				if err := p.Err(); err != nil {
					t.Errorf("%s exited with error %v", p.ID, err)
				}
			}
			l.waitForMore(t, 20)
			results := l.stopAndWait()
			// A stopped entry refuses connections; a load balancer in front would then try the next
			// entry.
			checkVerdicts(t, results, caller.Whole, caller.Refused)
			checkAtMostOnce(t, d, lo.Filter(results, func(s sentRequest, _ int) bool { return strings.HasPrefix(s.probe, "booking-") }))
		})
	}
}
