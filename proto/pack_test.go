package proto

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"geraniumpass/core"
)

func TestPackRoundTrip(t *testing.T) {
	for _, n := range []int{0, 1, 600, 1200} {
		list := make([]core.Instance, n)
		for i := range list {
			list[i] = core.Instance{ID: fmt.Sprint("i-", i), Service: "geranium-lm", Domain: "hall-a", Address: fmt.Sprintf("10.1.0.%d:8080", i), Rev: int64(i)}
		}
		b, err := Pack(list)
		if err != nil {
			t.Fatal(err)
		}
		var got []core.Instance
		if err := Unpack(b, &got); err != nil || !slices.Equal(got, list) {
			t.Errorf("%d rows: %d after unpacking, %v", n, len(got), err)
		}
	}
}

// TestUnpackRejectsInvalidInput guards against a peer whose bytes exhaust the memory or panic.
func TestUnpackRejectsInvalidInput(t *testing.T) {
	bomb, err := Pack(make([]byte, maxUnpackedBytes+1))
	if err != nil {
		t.Fatal(err)
	}
	var out []byte
	var tooLarge *PackedTooLargeError
	if err := Unpack(bomb, &out); !errors.As(err, &tooLarge) {
		t.Errorf("a value of %d packed bytes: %v", len(bomb), err)
	}
	for _, b := range [][]byte{nil, {0xff}, []byte("no packed value"), bomb[:len(bomb)/2]} {
		if err := Unpack(b, &out); err == nil {
			t.Errorf("%d invalid bytes were accepted", len(b))
		}
	}
}
