package kit

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// Call is one request of a client.
type Call struct {
	ID      string
	Path    string
	Host    string
	Key     string
	Body    string
	Header  map[string]string
	Timeout time.Duration
}

// Reply is what a client got. Err is set if the channel ended before the whole answer.
type Reply struct {
	Status int
	Signed bool
	Body   string
	Err    error
}

// Send sends a request on a channel of its own and reads the whole answer.
func (c Call) Send(address string) Reply {
	client := &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
		Timeout:   c.Timeout,
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+c.Path, strings.NewReader(c.Body))
	if err != nil {
		return Reply{Err: err}
	}
	req.Host = c.Host
	req.Header.Set("X-Attempt-Id", c.ID)
	if c.Key != "" {
		req.Header.Set("X-Credential", c.Key)
	}
	for name, value := range c.Header {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return Reply{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return Reply{
		Status: resp.StatusCode,
		Signed: resp.Header.Get("X-Server-Signature") != "",
		Body:   string(b),
		Err:    err,
	}
}
