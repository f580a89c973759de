package wire

import (
	"bytes"

	"geraniumpass/proto"
)

// outgoing is a queued frame, encoded already or not. Queues hold pointers, since they are long and there are
// many of them.
type outgoing struct {
	frame   *proto.Frame
	encoded []byte
}

func (o *outgoing) appendTo(buf *bytes.Buffer) error {
	if o.frame != nil {
		return proto.Encode(buf, o.frame)
	}
	_, err := buf.Write(o.encoded)
	return err
}
