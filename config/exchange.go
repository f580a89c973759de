package config

import (
	"encoding/json"

	"github.com/zeebo/errs/v2"

	"geraniumpass/proto"
)

// Sender is the link on which an answer is sent.
type Sender interface {
	Send(f *proto.Frame) error
}

// Answer sends what was accepted after the asker's revision: the records, or the whole document when they are gone.
func Answer(h *Holder, to Sender, ask *proto.ConfigAsk) {
	doc := h.Document()
	if ask.Have >= doc.Revision {
		return
	}
	out := &proto.Config{Revision: doc.Revision}
	var err error
	if records, ok := doc.Since(ask.Have); ok {
		out.Records, err = json.Marshal(records)
	} else {
		out.Document, err = json.Marshal(doc)
	}
	if err == nil {
		_ = to.Send(&proto.Frame{Config: out})
	}
}

// Take offers what a peer sent to the holder.
func Take(h *Holder, c *proto.Config) error {
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
