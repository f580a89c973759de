package config

import (
	"encoding/json"

	"github.com/zeebo/errs/v2"

	"geraniumpass/proto"
)

// Sender sends frames to a peer.
type Sender interface {
	Send(f *proto.Frame) error
}

// SendUpdate sends the peer the records after its revision, or the complete document if those
// records have been trimmed. It sends nothing to a peer that is up to date.
func SendUpdate(h *Holder, to Sender, req *proto.ConfigRequest) {
	doc := h.Document()
	if req.SinceRevision >= doc.Revision {
		return
	}
	out := &proto.Config{Revision: doc.Revision}
	var err error
	if records, ok := doc.Since(req.SinceRevision); ok {
		out.Records, err = json.Marshal(records)
	} else {
		out.Document, err = json.Marshal(doc)
	}
	if err == nil {
		_ = to.Send(&proto.Frame{Config: out})
	}
}

// ApplyUpdate offers the document or records received from a peer to the holder. It fails if they
// cannot be decoded or applied.
func ApplyUpdate(h *Holder, c *proto.Config) error {
	if c.Document != nil {
		doc := &Document{}
		if err := json.Unmarshal(c.Document, doc); err != nil {
			return errs.Wrap(err)
		}
		h.Offer(doc)
		return nil
	}
	var records []Record
	if err := json.Unmarshal(c.Records, &records); err != nil {
		return errs.Wrap(err)
	}
	return h.OfferRecords(records)
}
