package gate

import (
	"testing"
	"time"
)

// TestAgeOfCallers tells callers who return from those whose own time is a little shorter than usual.
func TestAgeOfCallers(t *testing.T) {
	tests := []struct {
		name   string
		budget time.Duration
		first  bool
	}{
		{"usual", 8 * time.Second, true},
		{"a little less", 6900 * time.Millisecond, true},
		{"a little more", 9 * time.Second, true},
		{"refused and returned", 5300 * time.Millisecond, false},
		{"doesn't say", 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := &budgets{by: make(map[string]time.Duration)}
			for i := range 50 {
				b.age("r", 8*time.Second+time.Duration(i%5-2)*300*time.Millisecond)
			}
			if age := b.age("r", tt.budget); (age == 0) != tt.first {
				t.Errorf("age %s", age)
			}
		})
	}
}
