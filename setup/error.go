package setup

import "strings"

// ValueError describes one invalid value: its path, the value and what is expected.
type ValueError struct {
	Path string
	Got  string
	Want string
}

// Error returns the finding on one line.
func (e *ValueError) Error() string {
	return e.Path + ": got " + e.Got + ", want " + e.Want
}

// ValidationError lists all findings in a settings file.
type ValidationError struct {
	File     string
	Findings []*ValueError
}

// Error returns one line per finding, after a line with the file name.
func (r *ValidationError) Error() string {
	lines := make([]string, 0, len(r.Findings)+1)
	lines = append(lines, r.File+" is not valid:")
	for _, f := range r.Findings {
		lines = append(lines, "  "+f.Error())
	}
	return strings.Join(lines, "\n")
}
