package check

import "fmt"

// Violation is the panic value of a violated invariant in fatal mode.
type Violation struct {
	Name   Name
	Detail string
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("invariant %s violated: %s", v.Name, v.Detail)
}
