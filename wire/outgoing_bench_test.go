package wire

import (
	"bytes"
	"fmt"
	"testing"

	"geraniumpass/loads"
	"geraniumpass/proto"
)

// BenchmarkOutgoing writes the load of a group of 64 ranks into the buffers of some links, encoded for each
// of them or once for all.
func BenchmarkOutgoing(b *testing.B) {
	g := loads.Group{
		Name:  "group-1",
		Epoch: 3,
		Open:  true,
		Ranks: make([]loads.Rank, 64),
	}
	frame := &proto.Frame{GroupLoad: loads.Encode(&g, 1, false)}
	for _, links := range []int{3, 14, 28} {
		for _, isEncoded := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d links, encoded %v", links, isEncoded), func(b *testing.B) {
				b.ReportAllocs()
				var buf bytes.Buffer
				for range b.N {
					out := outgoing{frame: frame}
					if isEncoded {
						out = outgoing{encoded: encode(b, frame)}
					}
					for range links {
						buf.Reset()
						if err := out.appendTo(&buf); err != nil {
							b.Fatal(err)
						}
					}
				}
			})
		}
	}
}

func encode(tb testing.TB, f *proto.Frame) []byte {
	tb.Helper()
	var buf bytes.Buffer
	if err := proto.Encode(&buf, f); err != nil {
		tb.Fatal(err)
	}
	return buf.Bytes()
}

// TestEncodedFrameIsReceivedLikeAnyOther guards against frames for many links that reach them in another form
// than those for one, or that are mixed up with the others of their batch.
func TestEncodedFrameIsReceivedLikeAnyOther(t *testing.T) {
	frames := []*proto.Frame{
		{GroupLoadRequest: &proto.GroupLoadRequest{}},
		{GroupLoad: &proto.GroupLoad{Group: "g"}},
		{GroupLoadRequest: &proto.GroupLoadRequest{}},
	}
	l := &Link{out: make(chan *outgoing, len(frames))}
	l.out <- &outgoing{encoded: encode(t, frames[1])}
	l.out <- &outgoing{frame: frames[2]}
	var buf bytes.Buffer
	if n, err := l.batch(&buf, &outgoing{frame: frames[0]}); err != nil || n != int64(len(frames)) {
		t.Fatalf("%d frames in the batch, error %v", n, err)
	}
	var got []*proto.Frame
	if err := proto.Decode(buf.Bytes(), func(f *proto.Frame) error {
		got = append(got, f)
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if len(got) != len(frames) || got[0].GroupLoadRequest == nil || got[1].GroupLoad.Group != "g" || got[2].GroupLoadRequest == nil {
		t.Errorf("received %+v", got)
	}
}
