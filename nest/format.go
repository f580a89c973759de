package nest

import (
	"strconv"
	"strings"
	"unicode/utf8"
)

// maxExcerptBytes bounds what errors and logs quote of a value from outside.
const maxExcerptBytes = 100

// FormatError reports JSON that can't be decoded. Errors of encoding/json may quote a whole value; this one is
// bounded in length.
type FormatError struct {
	Text string
}

// Error returns an excerpt of the decoder's error.
func (e *FormatError) Error() string {
	return e.Text
}

// Excerpt returns a copy of a text, cut to a bounded length.
func Excerpt(text string) string {
	if len(text) <= maxExcerptBytes {
		return strings.Clone(text)
	}
	end := maxExcerptBytes
	for end > 0 && !utf8.RuneStart(text[end]) {
		end--
	}
	return text[:end] + "... (" + strconv.Itoa(len(text)) + " bytes)"
}
