package check

import "fmt"

// Violation is the panic value of a broken invariant in fatal mode.
type Violation struct {
	Name   Name
	Detail string
}

// Error returns the invariant's name and what was seen.
func (v *Violation) Error() string {
	return fmt.Sprintf("invariant %s violated: %s", v.Name, v.Detail)
}
