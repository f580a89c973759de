package group

import "fmt"

// StartError says that a word came of an earlier start of the engine than the newest known, both in Unix milliseconds.
type StartError struct {
	Known int64
	Got   int64
}

// Error names both starts.
func (e *StartError) Error() string {
	return fmt.Sprintf("engine speaks as started at %d, it started again at %d", e.Got, e.Known)
}
