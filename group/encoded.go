package group

import (
	"bytes"

	"github.com/hashicorp/go-hclog"

	"geraniumpass/proto"
	"geraniumpass/wire"
)

// encodedFrames encodes frames that are sent over many links, each once.
type encodedFrames struct {
	log   hclog.Logger
	bytes map[*proto.Frame][]byte
}

func newEncodedFrames(log hclog.Logger) *encodedFrames {
	return &encodedFrames{
		log:   log,
		bytes: make(map[*proto.Frame][]byte),
	}
}

// send sends a frame over a link. It must not be changed between the calls.
func (e *encodedFrames) send(l *wire.Link, f *proto.Frame) {
	encoded, ok := e.bytes[f]
	if !ok {
		var buf bytes.Buffer
		if err := proto.Encode(&buf, f); err != nil {
			e.log.Error("encoding a frame failed", "error", err)
		}
		encoded = buf.Bytes()
		e.bytes[f] = encoded
	}
	if len(encoded) == 0 {
		return
	}
	// The end of a link is reported by its own event.
	_ = l.SendEncoded(encoded)
}
