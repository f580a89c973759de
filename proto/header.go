package proto

import (
	"iter"
	"strings"
)

// Header is one HTTP header field.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Headers copies header fields, except those whose lower-case name is in skip.
func Headers(fields iter.Seq2[[]byte, []byte], skip map[string]bool) []Header {
	var out []Header
	for k, v := range fields {
		if skip[strings.ToLower(string(k))] {
			continue
		}
		out = append(out, Header{
			Name:  string(k),
			Value: string(v),
		})
	}
	return out
}
