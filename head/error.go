package head

import "strconv"

// maxQuotedBytes is how much of a malformed head an error quotes.
const maxQuotedBytes = 48

// MalformedError reports a response whose head is not valid HTTP/1.
type MalformedError struct {
	// Problem says what is invalid.
	Problem string
	// Text is the beginning of the invalid part.
	Text string
}

// Error returns a message of printable ASCII characters.
func (e *MalformedError) Error() string {
	return "malformed response: " + e.Problem + " " + strconv.QuoteToASCII(e.Text)
}

func malformed(problem string, text []byte) error {
	return &MalformedError{
		Problem: problem,
		Text:    string(text[:min(len(text), maxQuotedBytes)]),
	}
}
