package agent

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"geraniumpass/proto"
	"geraniumpass/stand"
)

// uploadBytes is the size of a request that is still being written when a stand.Early answers it.
const uploadBytes = 512 << 10

// TestCutEarlyResponseOfAnUpstreamIsNoAnswer guards against a response that is reset before its end while the request is
// still being written, and is passed on as an answer or taken for the confirmation of an order.
func TestCutEarlyResponseOfAnUpstreamIsNoAnswer(t *testing.T) {
	const runs = 10
	long := bytes.Repeat([]byte("u"), uploadBytes)
	calls := []struct {
		name string
		do   func(u *HTTPUpstream) error
	}{
		{"request", func(u *HTTPUpstream) error {
			d := &proto.Dispatch{
				Method:  http.MethodPost,
				Path:    "/v1/completions",
				Request: "r-1",
				Body:    long,
			}
			return u.Do(d, time.Now().Add(5*time.Second), func(*proto.Answer) error { return nil })
		}},
		{"order", func(u *HTTPUpstream) error { _, err := u.Order(long); return err }},
	}
	for _, c := range calls {
		for _, cut := range stand.CutResponses("X-Field: v\r\n", "{}") {
			t.Run(c.name+"/"+cut.Name, func(t *testing.T) {
				for range runs {
					s, err := stand.StartEarly(stand.EndReset, func(*http.Request) (string, bool) { return cut.Raw, false })
					if err != nil {
						t.Fatal(err)
					}
					if err := c.do(NewHTTPUpstream(s.Address)); err == nil {
						t.Errorf("%q was taken for an answer", cut.Raw)
					}
					_ = s.Close()
				}
			})
		}
	}
}
