package config

import (
	"fmt"
	"strings"

	"geraniumpass/setup"
)

// ConflictError reports that another change was accepted after the revision that a change is based
// on.
type ConflictError struct {
	Base    uint64
	Current uint64
	Others  []Record
}

// Error states both revisions and the authors of the other changes.
func (e *ConflictError) Error() string {
	who := make([]string, 0, len(e.Others))
	for _, r := range e.Others {
		who = append(who, fmt.Sprintf("%s by %s", r.ID, r.Who))
	}
	return fmt.Sprintf("made against revision %d, but revision %d is in force (%s)", e.Base, e.Current, strings.Join(who, ", "))
}

// InvalidError lists the validation findings of a change.
type InvalidError struct {
	Findings []*setup.ValueError
}

// Error returns one line per finding.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Findings))
	for _, f := range e.Findings {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}

// UnconfirmedError reports that the key-value service did not confirm a change, which may or may
// not have been applied.
type UnconfirmedError struct {
	ID string
}

// Error states the ID of the change.
func (e *UnconfirmedError) Error() string {
	return "change " + e.ID + " was not confirmed; look for its id in the audit trail before making it again"
}

// GapError reports that a record does not directly follow the revision it is applied to.
type GapError struct {
	Have uint64
	Got  uint64
}

// Error states both revisions.
func (e *GapError) Error() string {
	return fmt.Sprintf("record of revision %d does not follow revision %d", e.Got, e.Have)
}
