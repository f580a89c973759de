package proto

import (
	"slices"
	"testing"
)

func TestHeadersKeepsOrderAndOmitsSkipped(t *testing.T) {
	fields := func(yield func(name, value []byte) bool) {
		for _, f := range [][2]string{{"X-Echo", "one"}, {"Keep-Alive", "timeout=5"}, {"x-echo", "two"}, {"Empty", ""}} {
			if !yield([]byte(f[0]), []byte(f[1])) {
				return
			}
		}
	}
	want := []Header{
		{
			Name:  "X-Echo",
			Value: "one",
		},
		{
			Name:  "x-echo",
			Value: "two",
		},
		{Name: "Empty"},
	}
	if got := Headers(fields, map[string]bool{"keep-alive": true}); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestHeadersOfNoFieldsIsNil(t *testing.T) {
	none := func(func(name, value []byte) bool) {}
	if got := Headers(none, nil); got != nil {
		t.Errorf("got %v, want nil", got)
	}
}
