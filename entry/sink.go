package entry

import (
	"bufio"
	"sync"

	"geraniumpass/proto"
)

const streamBufferParts = 64

// bufferSink buffers an answer until it is complete.
type bufferSink struct {
	status  int
	headers []proto.Header
	body    []byte
}

// Head implements sink.
func (s *bufferSink) Head(status int, headers []proto.Header) error {
	s.status = status
	s.headers = headers
	return nil
}

// Data implements sink.
func (s *bufferSink) Data(p []byte) error {
	s.body = append(s.body, p...)
	return nil
}

// Reset implements sink.
func (s *bufferSink) Reset() bool {
	s.status = 0
	s.headers = nil
	s.body = s.body[:0]
	return true
}

// streamSink forwards an answer as it arrives.
type streamSink struct {
	head chan proto.Answer
	data chan []byte
	gone chan struct{}
	once sync.Once
	err  error
}

func newStreamSink() *streamSink {
	return &streamSink{
		head: make(chan proto.Answer, 1),
		data: make(chan []byte, streamBufferParts),
		gone: make(chan struct{}),
	}
}

// Head implements sink.
func (s *streamSink) Head(status int, headers []proto.Header) error {
	s.head <- proto.Answer{
		Status:  status,
		Headers: headers,
	}
	return nil
}

// Data implements sink.
func (s *streamSink) Data(p []byte) error {
	select {
	case s.data <- p:
		return nil
	case <-s.gone:
		return &callerGoneError{}
	}
}

// Reset implements sink.
func (s *streamSink) Reset() bool {
	return false
}

// finish closes the stream; err is the reason if the answer is incomplete.
func (s *streamSink) finish(err error) {
	s.err = err
	close(s.data)
}

func (s *streamSink) markGone() {
	s.once.Do(func() { close(s.gone) })
}

// copyTo writes the stream to the caller and returns the error that ended it early, or nil.
func (s *streamSink) copyTo(w *bufio.Writer) error {
	defer s.markGone()
	for p := range s.data {
		if _, err := w.Write(p); err != nil {
			return &callerGoneError{}
		}
		if len(s.data) > 0 {
			continue
		}
		if err := w.Flush(); err != nil {
			return &callerGoneError{}
		}
	}
	return s.err
}
