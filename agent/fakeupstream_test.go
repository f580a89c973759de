package agent

import (
	"net"
	"sync"
	"time"

	"geraniumpass/proto"
)

// fakeUpstream answers every request, after gate is closed if there is one.
type fakeUpstream struct {
	mu    sync.Mutex
	runs  map[string]int
	gate  chan struct{}
	err   error
	parts int
}

func (f *fakeUpstream) Do(d *proto.Dispatch, _ time.Time, part func(*proto.Answer) error) error {
	f.mu.Lock()
	f.runs[d.Request]++
	err := f.err
	f.mu.Unlock()
	if f.gate != nil {
		<-f.gate
	}
	if err != nil {
		return err
	}
	if err := part(&proto.Answer{Status: 200}); err != nil {
		return err
	}
	for i := range f.parts {
		if err := part(&proto.Answer{Data: []byte{byte(i)}, Last: i == f.parts-1}); err != nil {
			return err
		}
	}
	return nil
}

func (f *fakeUpstream) count(request string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[request]
}

func (*fakeUpstream) Cancel(string) {}

func (*fakeUpstream) Leaving() (bool, error) { return false, nil }

func (*fakeUpstream) Order([]byte) ([]byte, error) {
	return nil, &LostError{Cause: net.ErrClosed}
}
