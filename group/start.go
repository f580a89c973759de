package group

import (
	"geraniumpass/place"
	"geraniumpass/shift"
)

// checkStart resets the state of an earlier start of the engine when a newer start reports. It
// fails with a *StaleStartError for a delayed report of an earlier start. The caller holds orderMu.
func (a *Agent) checkStart(rep Report) error {
	if rep.EngineStart == a.engineStart {
		return nil
	}
	if rep.EngineStart < a.engineStart {
		return &StaleStartError{
			Known: a.engineStart,
			Got:   rep.EngineStart,
		}
	}
	if a.engineStart != 0 {
		a.Log.Warn("engine restarted", "born", rep.EngineStart, "before", a.engineStart, "epoch", rep.Epoch)
	}
	a.engineStart = rep.EngineStart
	a.preparing = shift.None
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tally = place.Tally{}
	a.known = false
	return nil
}
