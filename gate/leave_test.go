package gate

import (
	"expvar"
	"net/http"
	"testing"
)

// TestOutcomesOfRelocations guards against callers that left on their own being counted as requests that
// were lost because they were moved.
func TestOutcomesOfRelocations(t *testing.T) {
	tests := []struct {
		status int
		want   string
	}{
		{http.StatusOK, "completed"},
		{http.StatusBadGateway, "lost"},
		{statusAborted, "lost"},
		{statusCallerGone, "caller_gone"},
	}
	for _, tt := range tests {
		before := relocationsCounted(tt.want)
		r := &request{relocated: true}
		r.recordRelocated(tt.status)
		if got := relocationsCounted(tt.want); got != before+1 {
			t.Errorf("status %d isn't counted as %s", tt.status, tt.want)
		}
	}
}

func relocationsCounted(name string) int64 {
	if v, ok := relocations.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}
