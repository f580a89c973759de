package config

import (
	"fmt"
	"strings"

	"geraniumpass/setup"
)

// ConflictError says that another change was accepted since the revision that a change was made against.
type ConflictError struct {
	Base    uint64
	Current uint64
	Others  []Record
}

// Error names the revisions and who made the other changes.
func (e *ConflictError) Error() string {
	who := make([]string, 0, len(e.Others))
	for _, r := range e.Others {
		who = append(who, fmt.Sprintf("%s by %s", r.ID, r.Who))
	}
	return fmt.Sprintf("made against revision %d, but revision %d is in force (%s)", e.Base, e.Current, strings.Join(who, ", "))
}

// InvalidError lists what is wrong with a change.
type InvalidError struct {
	Findings []*setup.ValueError
}

// Error returns one line a finding.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Findings))
	for _, f := range e.Findings {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}

// UnsureError says that the key-value service did not confirm a change, which may or may not take effect.
type UnsureError struct {
	ID string
}

// Error names the change to look for.
func (e *UnsureError) Error() string {
	return "change " + e.ID + " was not confirmed; look for its id in the audit trail before making it again"
}

// GapError says that records do not follow on the document they are applied to.
type GapError struct {
	Have uint64
	Got  uint64
}

// Error names the two revisions.
func (e *GapError) Error() string {
	return fmt.Sprintf("record of revision %d does not follow revision %d", e.Got, e.Have)
}
