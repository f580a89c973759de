package agent

import (
	"bufio"
	"errors"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"geraniumpass/proto"
)

// TestTruncatedAnswersFail guards against forwarding a last part when the upstream closes the
// connection before the framed end of its answer.
func TestTruncatedAnswersFail(t *testing.T) {
	long := strings.Repeat("x", chunkBytes+chunkBytes/2)
	for _, tt := range []struct {
		name     string
		raw      string
		complete bool
	}{
		{"chunked, whole", "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", true},
		{"chunked, cut within a chunk", "Transfer-Encoding: chunked\r\n\r\nff\r\nhalf", false},
		{"chunked, cut between chunks", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false},
		{"chunked, cut before the end of its trailer", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n", false},
		{"chunked, cut after some parts", "Transfer-Encoding: chunked\r\n\r\n20000\r\n" + long, false},
		{"chunked, nothing of it", "Transfer-Encoding: chunked\r\n\r\n", false},
		{"length, whole", "Content-Length: 5\r\n\r\nwhole", true},
		{"length, cut", "Content-Length: 100\r\n\r\nhalf", false},
		{"length, cut after some parts", "Content-Length: 200000\r\n\r\n" + long, false},
		{"length, nothing of it", "Content-Length: 100\r\n\r\n", false},
		{"events, cut", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n", false},
		{"events, whole", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\ne\r\ndata: [DONE]\n\n\r\n0\r\n\r\n", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			resp := fasthttp.AcquireResponse()
			defer fasthttp.ReleaseResponse(resp)
			resp.StreamBody = true
			last := false
			err := resp.Read(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n" + tt.raw)))
			if err != nil {
				err = classify(err)
			} else {
				err = forwardResponse(resp, func(p *proto.Answer) error {
					last = last || p.Last
					return nil
				})
			}
			var lost *LostError
			if last != tt.complete || errors.As(err, &lost) == tt.complete {
				t.Fatalf("complete: %v, error %v; want complete: %v", last, err, tt.complete)
			}
		})
	}
}
