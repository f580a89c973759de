package setup

import "strings"

// ValueError is one wrong value: where it stands, what it is and what it may be.
type ValueError struct {
	Path string
	Got  string
	Want string
}

// Error returns the finding on one line.
func (e *ValueError) Error() string {
	return e.Path + ": got " + e.Got + ", want " + e.Want
}

// Report is the error that lists everything wrong with a settings file.
type Report struct {
	File     string
	Findings []*ValueError
}

// Error returns one line a finding.
func (r *Report) Error() string {
	lines := make([]string, 0, len(r.Findings)+1)
	lines = append(lines, r.File+" is not valid:")
	for _, f := range r.Findings {
		lines = append(lines, "  "+f.Error())
	}
	return strings.Join(lines, "\n")
}
