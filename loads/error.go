package loads

import "fmt"

// MessageError means that a message contradicts itself or holds an impossible value in a field.
type MessageError struct {
	Field string
}

// Error names the field.
func (e *MessageError) Error() string {
	return fmt.Sprintf("load message with contradictory or impossible %s", e.Field)
}
