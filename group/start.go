package group

import (
	"geraniumpass/place"
	"geraniumpass/shift"
)

// maxStaleReports is how many reports in a row of an earlier start are taken for late ones. A report after
// them shows that the engine has started again with its clock set back.
const maxStaleReports = 2

// checkStart resets the state of an earlier start of the engine when a newer start reports. It
// fails with a *StaleStartError for a delayed report of an earlier start. The caller holds orderMu.
func (a *Agent) checkStart(rep Report) error {
	if rep.EngineStart == a.engineStart {
		a.staleReports = 0
		return nil
	}
	if rep.EngineStart < a.engineStart && a.staleReports < maxStaleReports {
		a.staleReports++
		return &StaleStartError{
			Known: a.engineStart,
			Got:   rep.EngineStart,
		}
	}
	if a.engineStart != 0 {
		a.Log.Warn("engine restarted", "born", rep.EngineStart, "before", a.engineStart, "epoch", rep.Epoch)
	}
	a.engineStart = rep.EngineStart
	a.staleReports = 0
	a.preparing = shift.None
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tally = place.Tally{}
	a.known = false
	return nil
}
