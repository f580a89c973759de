package head

import (
	"bytes"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// stage is the part of a response that the next byte belongs to.
type stage uint8

const (
	// stageBody means that no head is expected.
	stageBody stage = iota
	stageStatusLine
	stageFields
)

const (
	versionPrefix    = "HTTP/1."
	knownMinor       = '1'
	transferEncoding = "Transfer-Encoding"
	// maxStatus is the largest valid status (RFC 9110, section 15).
	maxStatus = 599
)

// Checker checks the head of a response and of the interim responses before it. The zero value checks
// nothing until Begin is called. A line is held until it is whole, so that whoever reads the head bounds its
// length.
type Checker struct {
	// Upgrade is set if the request asked for another protocol, so that status 101 is final.
	Upgrade bool

	stage stage
	// line is the beginning of a line whose end has not been written yet.
	line   []byte
	status int
	// minor is the minor version, an ASCII digit.
	minor byte
	// hasField is set once the head has a field, which the next line may continue.
	hasField bool
}

// Begin expects the head of a response.
func (c *Checker) Begin() {
	*c = Checker{
		Upgrade: c.Upgrade,
		stage:   stageStatusLine,
	}
}

// Check checks the next bytes of the response; those after the head are ignored. A minor version above 1 is replaced by
// 1, because a response is to be read as of the highest version that its reader knows (RFC 9110, section 2.5), and
// fasthttp reads any other as 1.0. It fails with a *MalformedError and then returns the number of bytes before the end
// of the malformed line.
func (c *Checker) Check(p []byte) (int, error) {
	n := 0
	for c.stage != stageBody && n < len(p) {
		c.lowerMinor(p[n:])
		end := bytes.IndexByte(p[n:], '\n')
		if end < 0 {
			c.line = append(c.line, p[n:]...)
			break
		}
		line := p[n : n+end]
		if len(c.line) > 0 {
			line = append(c.line, line...)
			c.line = nil
		}
		n += end
		if err := c.checkLine(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			return n, err
		}
		n++
	}
	return len(p), nil
}

// lowerMinor replaces the minor version if it is in p, the next bytes of the response.
func (c *Checker) lowerMinor(p []byte) {
	i := len(versionPrefix) - len(c.line)
	if c.stage == stageStatusLine && 0 <= i && i < len(p) && isDigit(p[i]) {
		p[i] = min(p[i], knownMinor)
	}
}

// checkLine checks a line without its end.
func (c *Checker) checkLine(line []byte) error {
	switch {
	case c.stage == stageStatusLine:
		return c.checkStatusLine(line)
	case len(line) == 0:
		c.end()
		return nil
	case line[0] == ' ' || line[0] == '\t':
		return c.checkContinuation(line)
	}
	return c.checkField(line)
}

// checkStatusLine checks a status line (RFC 9112, section 4). The blank before a missing reason is often
// missing too.
func (c *Checker) checkStatusLine(line []byte) error {
	version, rest, _ := strings.Cut(string(line), " ")
	status, reason, _ := strings.Cut(rest, " ")
	minor, ok := strings.CutPrefix(version, versionPrefix)
	if !ok || len(minor) != 1 || !isDigit(minor[0]) || !httpguts.ValidHeaderFieldValue(reason) {
		return malformed("invalid status line", line)
	}
	c.minor = minor[0]
	if c.status, ok = parseStatus(status); !ok {
		return malformed("invalid status line", line)
	}
	if c.status < http.StatusContinue || c.status > maxStatus {
		return malformed("invalid status in", line)
	}
	if c.status == http.StatusSwitchingProtocols && !c.Upgrade {
		return malformed("unrequested upgrade in", line)
	}
	c.stage = stageFields
	return nil
}

func parseStatus(s string) (int, bool) {
	if len(s) != 3 {
		return 0, false
	}
	status := 0
	for i := range len(s) {
		if !isDigit(s[i]) {
			return 0, false
		}
		status = 10*status + int(s[i]-'0')
	}
	return status, true
}

func isDigit(b byte) bool {
	return '0' <= b && b <= '9'
}

// checkContinuation checks a line that continues the value of a field (RFC 9112, section 5.2).
func (c *Checker) checkContinuation(line []byte) error {
	if !c.hasField {
		return malformed("blank before the first field", line)
	}
	if !httpguts.ValidHeaderFieldValue(string(line)) {
		return malformed("invalid continuation of a value", line)
	}
	return nil
}

// checkField checks the first line of a field.
func (c *Checker) checkField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok {
		return malformed("field without a colon", line)
	}
	if !httpguts.ValidHeaderFieldName(string(name)) {
		return malformed("invalid field name", name)
	}
	if !httpguts.ValidHeaderFieldValue(string(value)) {
		return malformed("invalid value of field", name)
	}
	if c.minor == '0' && strings.EqualFold(string(name), transferEncoding) {
		// The framing of such a response is faulty (RFC 9112, section 6.1).
		return malformed("HTTP/1.0 with field", name)
	}
	c.hasField = true
	return nil
}

// end ends a head. An interim response is followed by another head.
func (c *Checker) end() {
	isInterim := c.status < http.StatusOK && c.status != http.StatusSwitchingProtocols
	c.Begin()
	if !isInterim {
		c.stage = stageBody
	}
}
