package answer

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"geraniumpass/check"
	"geraniumpass/proto"
)

// TestAnyOrderGivesTheWholeAnswer loses, repeats and reorders parts, and asks for what is missing until all is there.
func TestAnyOrderGivesTheWholeAnswer(t *testing.T) {
	check.SetFatal(true)
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "parts")
		b := NewBuffer(false)
		for i := range n {
			b.Append(&proto.Answer{Data: []byte{byte(i)}, Last: i == n-1})
		}
		var a Assembler
		var got []byte
		for round := 0; !a.Whole(); round++ {
			parts, ok := b.From(a.Next())
			if !ok {
				t.Fatal("parts that were not acknowledged are gone")
			}
			order := rapid.Permutation(append([]*proto.Answer{}, parts...)).Draw(t, "order")
			// At least one part arrives in each round, and any may be lost or come twice.
			keep := rapid.IntRange(1, len(order)).Draw(t, "kept")
			for _, p := range append(order[:keep:keep], order[0], parts[0]) {
				for _, due := range a.Accept(p) {
					got = append(got, due.Data...)
				}
			}
			b.Ack(a.Next())
		}
		for i, v := range got {
			if int(v) != i {
				t.Fatalf("part %d stands at %d", v, i)
			}
		}
		if len(got) != n || !b.Empty() || b.Bytes() != 0 {
			t.Fatalf("%d of %d parts, %d bytes kept", len(got), n, b.Bytes())
		}
	})
}

func ExampleAssembler() {
	var a Assembler
	for _, p := range []*proto.Answer{
		{Seq: 1, Data: []byte("whole "), Last: false},
		{Seq: 0, Data: []byte("the ")},
		{Seq: 2, Data: []byte("answer"), Last: true},
	} {
		for _, due := range a.Accept(p) {
			fmt.Printf("%s", due.Data)
		}
	}
	fmt.Println("", a.Whole())
	// Output: the whole answer true
}
