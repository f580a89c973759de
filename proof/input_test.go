package proof

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"geraniumpass/deploy"
	"geraniumpass/entry"
)

// reply is a fully read HTTP response.
type reply struct {
	status      int
	contentType string
	body        []byte
}

// sendRaw writes text to address without any validation and returns the response.
func sendRaw(t *testing.T, address, text string) reply {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(waitLimit)); err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = c.Write([]byte(text)) }()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return reply{
		status:      resp.StatusCode,
		contentType: resp.Header.Get("Content-Type"),
		body:        body,
	}
}

func formatPost(path, headers, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", path, headers, len(body), body)
}

func TestBadInputGetsProblemDocument(t *testing.T) {
	const auth = "Authorization: Bearer " + key + "\r\n"
	good := `{"model":"` + model + `","prompt":"p","max_tokens":2}`
	tests := []struct {
		name   string
		text   string
		status int
	}{
		{name: "no key", text: formatPost("/v1/completions", "", good), status: 401},
		{name: "unknown key", text: formatPost("/v1/completions", "Authorization: Bearer nobody\r\n", good), status: 401},
		{name: "key of another scheme", text: formatPost("/v1/completions", "Authorization: Basic "+key+"\r\n", good), status: 401},
		{name: "unknown model", text: formatPost("/v1/completions", auth, `{"model":"nothing","prompt":"p"}`), status: 404},
		{name: "model that is a plain service", text: formatPost("/v1/completions", auth, `{"model":"`+plain+`","prompt":"p"}`), status: 404},
		{name: "unknown service", text: formatPost("/services/nothing/x", auth, ""), status: 404},
		{name: "service that is a model", text: formatPost("/services/"+model+"/x", auth, ""), status: 404},
		{name: "unknown path", text: formatPost("/v2/other", auth, ""), status: 404},
		{name: "broken JSON", text: formatPost("/v1/completions", auth, `{"model":`), status: 400},
		{name: "JSON of another shape", text: formatPost("/v1/completions", auth, `{"model":["a"],"prompt":{}}`), status: 400},
		{name: "no body", text: formatPost("/v1/completions", auth, ""), status: 400},
		{name: "wrong method", text: "GET /v1/completions HTTP/1.1\r\nHost: x\r\n" + auth + "\r\n", status: 405},
		{name: "bad timeout", text: formatPost("/v1/completions", auth+"X-Request-Timeout: soon\r\n", good), status: 400},
		{name: "long idempotency key", text: formatPost("/services/"+plain+"/x", auth+"Idempotency-Key: "+strings.Repeat("k", 300)+"\r\n", "x"), status: 400},
		{name: "header too large", text: formatPost("/v1/completions", auth+"X-Large: "+strings.Repeat("h", 40_000)+"\r\n", good), status: 431},
		{name: "body over the limit", text: "POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + auth + "Content-Length: 99999999\r\n\r\n{", status: 413},
		{name: "not HTTP", text: "hello there\r\n\r\n", status: 400},
	}
	d := launch(t, smallPlan(), deploy.Options{})
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			resp := sendRaw(t, d.Entries[0].Listen, tt.text)
			if resp.status != tt.status {
				t.Errorf("status %d, want %d", resp.status, tt.status)
			}
			if resp.contentType != "application/problem+json" {
				t.Errorf("content type %q", resp.contentType)
			}
			var p entry.Problem
			if err := json.Unmarshal(resp.body, &p); err != nil || p.Outcome != "not_run" || p.Status != tt.status || p.Detail == "" {
				t.Errorf("problem document %+v, decoding error %v", p, err)
			}
		})
	}
	// The entry must still serve valid requests.
	if s := postBooking(d, 0, "", "after", ""); s.result.Verdict != "whole" {
		t.Errorf("valid request after bad input got %+v", s.result)
	}
}

func TestCallerDisconnectCancelsEngineRequest(t *testing.T) {
	d := launch(t, smallPlan(), deploy.Options{})
	body := `{"model":"` + model + `","prompt":"long","max_tokens":100000,"stream":true}`
	c, err := net.Dial("tcp", d.Entries[0].Listen)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write([]byte(formatPost("/v1/completions", "Authorization: Bearer "+key+"\r\n", body))); err != nil {
		t.Fatal(err)
	}
	running := func() int64 {
		n := int64(0)
		for _, e := range d.Engines {
			n += e.Running()
		}
		return n
	}
	eventually(t, "the stream to start at an engine", func() bool { return running() == 1 })
	_ = c.Close()
	eventually(t, "the engine to cancel the stream", func() bool { return running() == 0 })
	eventually(t, "the entry to have no requests in flight", func() bool {
		s, err := d.Operator(0).Status()
		return err == nil && s.InFlight == 0
	})
}

// TestStreamsSurviveStalledEngine stalls an engine in mid-stream while its agent keeps responding.
func TestStreamsSurviveStalledEngine(t *testing.T) {
	d := launch(t, smallPlan(), deploy.Options{})
	l := startLoad(9, func(s, n int) sentRequest { return sendStream(d, s, n) })
	l.waitForMore(t, 9)
	e := d.Engines[model+"-00"]
	eventually(t, "streams to run at the engine", func() bool { return e.Running() > 0 })
	e.SetStalled(true)
	l.waitForMore(t, 30)
	results := l.stopAndWait()
	checkVerdicts(t, results, "whole")
}
