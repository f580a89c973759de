package entry

import (
	"errors"
	"net/http/httptest"
	"testing"

	"github.com/gofiber/fiber/v3"

	"geraniumpass/proto"
)

// TestResumeRequiresMatchingEventStream guards against joining an answer that does not continue
// after the second event, when a stream breaks off there and is retried at another upstream.
func TestResumeRequiresMatchingEventStream(t *testing.T) {
	head := func(status int, headers ...string) *proto.Answer {
		a := &proto.Answer{Status: status}
		for i := 0; i < len(headers); i += 2 {
			a.Headers = append(a.Headers, proto.Header{
				Name:  headers[i],
				Value: headers[i+1],
			})
		}
		return a
	}
	const kind, from, events = "Content-Type", "X-Resume-From", "text/event-stream"
	for _, tt := range []struct {
		name          string
		first, second *proto.Answer
		ok            bool
	}{
		{"goes on", head(200, kind, events), head(200, kind, events, from, "2"), true},
		{"goes on, with a parameter", head(200, kind, events), head(200, kind, events+"; charset=utf-8", from, "2"), true},
		{"fails", head(200, kind, events), head(500, kind, "text/plain"), false},
		{"fails in events", head(200, kind, events), head(500, kind, events, from, "2"), false},
		{"sends something else", head(200, kind, events), head(200, kind, "application/json", from, "2"), false},
		{"doesn't say what it sends", head(200, kind, events), head(200, from, "2"), false},
		{"begins anew", head(200, kind, events), head(200, kind, events), false},
		{"goes on elsewhere", head(200, kind, events), head(200, kind, events, from, "1"), false},
		{"two bodies", head(200, kind, "application/json"), head(200, kind, "application/json"), false},
		{"two failures", head(500, kind, "application/json"), head(500, kind, "application/json"), false},
		{"events behind a body", head(200, kind, "application/json"), head(200, kind, events, from, "2"), false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			e, r, out := &Entry{}, &request{stream: true, idempotent: true}, newStreamSink()
			for _, p := range []*proto.Answer{tt.first, {Data: []byte("data: 0\n\n")}, {Data: []byte("data: 1\n\n")}} {
				if err := e.deliver(r, p, out); err != nil {
					t.Fatal(err)
				}
			}
			err := e.deliver(r, tt.second, out)
			var busy *overloadedError
			if tt.ok && err != nil || !tt.ok && !errors.As(err, &busy) {
				t.Errorf("%v", err)
			}
		})
	}
}

// TestResumeHeaderFromCallerIsDropped guards against forwarding a caller's X-Resume-From header,
// which would make engines skip events.
func TestResumeHeaderFromCallerIsDropped(t *testing.T) {
	app := fiber.New()
	var got []proto.Header
	app.Get("/", func(c fiber.Ctx) error {
		got = proto.Headers(c.Request().Header.All(), hopHeaders)
		return nil
	})
	req := httptest.NewRequest(fiber.MethodGet, "/", nil)
	req.Header.Set(headerResume, "5")
	resp, err := app.Test(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if v := headerOf(got, headerResume); v != "" {
		t.Errorf("caller's resume header was forwarded: %q", v)
	}
}
