package gate

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// sendAnswer writes a complete upstream answer to the caller.
func (r *request) sendAnswer(ans *answer) int {
	h := r.w.Header()
	copyAnswerHeader(h, ans.header)
	if r.req.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(ans.body)))
	}
	r.w.WriteHeader(ans.status)
	if _, err := r.w.Write(ans.body); err != nil {
		r.reason = "caller_unreachable"
		return statusCallerGone
	}
	return ans.status
}

// hopHeaders lists the hop-by-hop headers (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// forwardedHeader returns a copy of a caller's header without the hop-by-hop headers.
func forwardedHeader(h http.Header) http.Header {
	out := h.Clone()
	dropHopHeaders(out)
	return out
}

func copyAnswerHeader(to, from http.Header) {
	out := from.Clone()
	dropHopHeaders(out)
	for name, values := range out {
		to[name] = values
	}
	// A nil value keeps net/http from adding these headers to an answer that lacks them.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := out[name]; !ok {
			to[name] = nil
		}
	}
}

func dropHopHeaders(h http.Header) {
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}
