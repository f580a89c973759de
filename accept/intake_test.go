package accept

import (
	"fmt"
	"strings"
	"testing"
)

// TestIntakeCountsFields guards against heads of many short fields, which take many times their bytes.
func TestIntakeCountsFields(t *testing.T) {
	var b strings.Builder
	b.WriteString("GET / HTTP/1.1\r\n")
	for i := range 1000 {
		fmt.Fprintf(&b, "%x:\n", i)
	}
	whole := b.String() + "\r\nbody"
	tests := []struct {
		name  string
		text  string
		lines int64
		head  int
		body  int64
		whole bool
	}{
		{"empty lines before", "\r\n\r\n\n", 3, 5, 0, false},
		{"empty lines, then a head", "\r\n\r\nGET / HTTP/1.1\r\n\r\n", 4, 22, 0, true},
		{"no line end", "GET /", 0, 5, 0, false},
		{"short fields", whole, 1002, len(whole) - 4, 4, true},
	}
	for _, tt := range tests {
		for _, size := range []int{1, 2, 3, 7, 4096} {
			t.Run(fmt.Sprintf("%s, %d at a time", tt.name, size), func(t *testing.T) {
				i := intake{lineEmpty: true}
				for rest := tt.text; len(rest) > 0; {
					n := min(size, len(rest))
					i.add([]byte(rest[:n]))
					rest = rest[n:]
				}
				if i.lines != tt.lines || i.head != int64(tt.head) || i.body != tt.body || i.whole != tt.whole {
					t.Errorf("%+v", i)
				}
			})
		}
	}
}
