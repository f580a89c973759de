package group

import (
	"geraniumpass/place"
	"geraniumpass/shift"
)

// meet forgets what belongs to an earlier start of the engine once a later one tells of itself, and fails with a *StartError for a late
// word of an earlier one; the caller holds ordering.
func (a *Agent) meet(rep Report) error {
	if rep.Born == a.born {
		return nil
	}
	if rep.Born < a.born {
		return &StartError{
			Known: a.born,
			Got:   rep.Born,
		}
	}
	if a.born != 0 {
		a.Log.Warn("engine has started again", "born", rep.Born, "before", a.born, "epoch", rep.Epoch)
	}
	a.born = rep.Born
	a.copying = shift.None
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tally = place.Tally{}
	a.known = false
	return nil
}
