package group

import (
	"testing"

	"github.com/hashicorp/go-hclog"

	"geraniumpass/proto"
	"geraniumpass/wire"
)

// TestFrameForManyLinksIsEncodedOnce guards against work of a sidecar for each subscriber, or of a leader for
// each rank, that is the same for all of them.
func TestFrameForManyLinksIsEncodedOnce(t *testing.T) {
	address := startAgent(t, newSteppingGroup(), 0)
	frames := newEncodedFrames(hclog.NewNullLogger())
	f := &proto.Frame{GroupLoadRequest: &proto.GroupLoadRequest{}}
	first := dialAgent(t, address, wire.RoleEntry)
	frames.send(first, f)
	encoded := frames.bytes[f]
	for range 3 {
		frames.send(dialAgent(t, address, wire.RoleEntry), f)
	}
	if len(frames.bytes) != 1 || &frames.bytes[f][0] != &encoded[0] {
		t.Errorf("encoded anew; %d encodings", len(frames.bytes))
	}
}
