package answer

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"geraniumpass/check"
	"geraniumpass/proto"
)

// TestAssemblerCompletesAnswerInAnyOrder guards against missing, repeated or misplaced data when
// parts are lost, duplicated and reordered in transit and requested again.
func TestAssemblerCompletesAnswerInAnyOrder(t *testing.T) {
	check.SetFatal(true)
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "parts")
		b := NewBuffer(false)
		for i := range n {
			b.Append(&proto.Answer{Data: []byte{byte(i)}, Last: i == n-1})
		}
		var a Assembler
		var got []byte
		for round := 0; !a.Complete(); round++ {
			parts, ok := b.From(a.Next())
			if !ok {
				t.Fatal("unacknowledged parts were discarded")
			}
			order := rapid.Permutation(append([]*proto.Answer{}, parts...)).Draw(t, "order")
			// At least one part arrives in each round; any other may be lost or duplicated.
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
				t.Fatalf("part %d was delivered at index %d", v, i)
			}
		}
		if len(got) != n || !b.Empty() || b.Bytes() != 0 {
			t.Fatalf("got %d of %d parts, %d bytes still buffered", len(got), n, b.Bytes())
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
	fmt.Println("", a.Complete())
	// Output: the whole answer true
}
