package entry

import (
	"bufio"
	"sync"

	"geraniumpass/proto"
)

const streamAhead = 64

// bufferSink keeps a whole answer until it is complete.
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

// streamSink passes an answer on as it comes.
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
		data: make(chan []byte, streamAhead),
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
		return &goneError{}
	}
}

// Reset implements sink.
func (s *streamSink) Reset() bool {
	return false
}

// end tells the writer that no more comes, and why when the answer is not whole.
func (s *streamSink) end(err error) {
	s.err = err
	close(s.data)
}

func (s *streamSink) leave() {
	s.once.Do(func() { close(s.gone) })
}

// copyTo writes the stream to the caller and returns the error that ended it early, or nil.
func (s *streamSink) copyTo(w *bufio.Writer) error {
	defer s.leave()
	for p := range s.data {
		if _, err := w.Write(p); err != nil {
			return &goneError{}
		}
		if len(s.data) > 0 {
			continue
		}
		if err := w.Flush(); err != nil {
			return &goneError{}
		}
	}
	return s.err
}
