//go:build go1.27

package start

import (
	"math"
	"net/http"
)

// allowAnyFields lifts the bound of net/http on the number of header fields. The listeners bound heads, by their
// bytes and fields.
func allowAnyFields(s *http.Server) {
	s.MaxHeaderValueCount = math.MaxInt32
}
