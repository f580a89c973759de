package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/zeebo/errs/v2"

	"geraniumpass/proto"
	"geraniumpass/stand"
)

// instantUpstream is an in-process upstream that answers with the requested number of tokens at a
// fixed pace.
type instantUpstream struct {
	pace  time.Duration
	ranks int

	mu         sync.Mutex
	version    uint64
	encodedMap []byte
	tokens     []float64
}

// Do implements agent.Upstream.
func (u *instantUpstream) Do(d *proto.Dispatch, _ time.Time, part func(*proto.Answer) error) error {
	err := part(&proto.Answer{
		Status:  200,
		Headers: []proto.Header{{Name: "Content-Type", Value: "text/event-stream"}},
	})
	for i := 0; err == nil && i < int(d.Cost); i++ {
		time.Sleep(u.pace)
		event := fmt.Sprintf("data: {\"id\":\"x\",\"object\":\"text_completion\",\"model\":%q,\"choices\":[{\"index\":0,\"text\":%q}]}\n\n", service, stand.Token(prompt, i))
		err = part(&proto.Answer{Data: []byte(event)})
	}
	if err != nil {
		return err
	}
	return part(&proto.Answer{
		Data: []byte("data: [DONE]\n\n"),
		Last: true,
	})
}

// Cancel implements agent.Upstream.
func (*instantUpstream) Cancel(string) {}

// Leaving implements agent.Upstream.
func (*instantUpstream) Leaving() (bool, error) { return false, nil }

// Order implements agent.Upstream for a rank that executes every order immediately.
func (u *instantUpstream) Order(body []byte) ([]byte, error) {
	var o struct {
		Kind    proto.OrderKind `json:"kind"`
		Version uint64          `json:"version"`
	}
	if err := json.Unmarshal(body, &o); err != nil {
		return nil, errs.Wrap(err)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if o.Kind == proto.OrderGrant {
		u.version = o.Version
	}
	b, err := json.Marshal(map[string]any{
		"ok": true,
		"state": proto.RankState{
			Version: u.version,
			Step:    uint64(time.Now().UnixMilli()) / 4,
			Staged:  u.version,
			Map:     u.encodedMap,
			Tokens:  u.tokens,
		},
	})
	return b, errs.Wrap(err)
}
