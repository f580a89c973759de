package nest

import (
	"encoding/json"
	"fmt"
	"io"
)

// Max is the deepest nesting that is accepted. It takes a decoder some hundred KB of stack, and no format of this
// system has more than a tenth of it.
const Max = 256

// DepthError reports JSON that is nested too deeply.
type DepthError struct {
	Limit  int
	Offset int64
}

// Error returns a message with the limit and the offset in bytes at which it is exceeded.
func (e *DepthError) Error() string {
	return fmt.Sprintf("JSON is nested over %d levels at byte %d", e.Limit, e.Offset)
}

// Unmarshal decodes JSON into v like json.Unmarshal. It fails with a *DepthError before it decodes what is nested
// too deeply, and with a *FormatError for all else.
func Unmarshal(data []byte, v any) error {
	if err := Check(data); err != nil {
		return err
	}
	if err := json.Unmarshal(data, v); err != nil {
		return &FormatError{Text: Excerpt(err.Error())}
	}
	return nil
}

// Check fails with a *DepthError if JSON is nested too deeply. It doesn't check whether it is valid.
func Check(data []byte) error {
	var s scanner
	_, err := s.scan(data)
	return err
}

// NewReader returns a reader that reads from r and fails with a *DepthError at the first byte of JSON that is
// nested too deeply.
func NewReader(r io.Reader) io.Reader {
	return &reader{in: r}
}

type reader struct {
	in   io.Reader
	scan scanner
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.in.Read(p)
	if sound, deep := r.scan.scan(p[:n]); deep != nil {
		return sound, deep
	}
	return n, err
}

// scanner follows the nesting of JSON that arrives in parts. The zero value is ready to use.
type scanner struct {
	depth    int
	inString bool
	escaped  bool
	offset   int64
}

// scan reads the next part. It fails with a *DepthError, and then returns how many bytes precede the one that is
// too deep.
func (s *scanner) scan(part []byte) (int, error) {
	for i, c := range part {
		switch {
		case s.escaped:
			s.escaped = false
		case s.inString:
			s.escaped = c == '\\'
			s.inString = c != '"'
		case c == '"':
			s.inString = true
		case c == '{' || c == '[':
			s.depth++
		case c == '}' || c == ']':
			s.depth--
		}
		if s.depth > Max {
			return i, &DepthError{
				Limit:  Max,
				Offset: s.offset + int64(i),
			}
		}
	}
	s.offset += int64(len(part))
	return len(part), nil
}
