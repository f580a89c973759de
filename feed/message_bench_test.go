package feed

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"geraniumpass/loads"
	"geraniumpass/proto"
)

// BenchmarkMessage handles a status as an entry does that has feeds of so many groups, from the bytes of
// the message to the board and the selection.
func BenchmarkMessage(b *testing.B) {
	for _, groups := range []int{2, 18, 36} {
		b.Run(fmt.Sprint(groups*ranksPerGroup), func(b *testing.B) {
			e := newEntry(1, "a", agentsIn(groups), led)
			e.run(10 * time.Second)
			board := loads.NewBoard(clockwork.NewFakeClock())
			messages := messagesOf(b, e, board)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				handleMessage(b, e, board, messages[i%len(messages)])
			}
		})
	}
}

// message is an encoded status, and the link that carries it.
type message struct {
	address string
	bytes   []byte
	decoder *loads.Decoder
	last    *posted
}

// messagesOf returns one status without incarnations of each live feed, whose link has had them.
func messagesOf(b *testing.B, e *entrySim, board *loads.Board) (out []message) {
	for _, c := range e.live() {
		g := led(c.agent)
		var full, bare bytes.Buffer
		if err := proto.Encode(&full, &proto.Frame{GroupLoad: loads.Encode(g, 1, true)}); err != nil {
			b.Fatal(err)
		}
		if err := proto.Encode(&bare, &proto.Frame{GroupLoad: loads.Encode(g, 1, false)}); err != nil {
			b.Fatal(err)
		}
		m := message{
			address: c.address,
			bytes:   full.Bytes(),
			decoder: &loads.Decoder{},
			last:    &posted{},
		}
		handleMessage(b, e, board, m)
		m.bytes = bare.Bytes()
		out = append(out, m)
	}
	return out
}

func handleMessage(b *testing.B, e *entrySim, board *loads.Board, m message) {
	err := proto.Decode(m.bytes, func(f *proto.Frame) error {
		g, err := m.decoder.Decode(f.GroupLoad)
		if err != nil {
			return err
		}
		board.Update(g)
		if m.last.isDue(e.now, &g) {
			e.heard(m.address, &g)
		}
		return nil
	})
	if err != nil {
		b.Fatal(err)
	}
}
