package entry

import (
	"strings"

	"github.com/gofiber/fiber/v3"

	"geraniumpass/proto"
)

const (
	// headerResume tells an engine how many events the caller has received; an engine that resumes
	// the stream at that position echoes the header.
	headerResume = "X-Resume-From"
	eventStream  = "text/event-stream"
)

// hopHeaders are request headers that are not forwarded because they apply to this hop only.
var hopHeaders = map[string]bool{
	"authorization":     true,
	"connection":        true,
	"content-length":    true,
	"host":              true,
	"keep-alive":        true,
	"te":                true,
	"trailer":           true,
	"transfer-encoding": true,
	"upgrade":           true,
	"x-request-id":      true,
	"x-request-timeout": true,
	"x-resume-from":     true,
	"expect":            true,
}

// headerOf returns the first value of a header, or an empty string.
func headerOf(headers []proto.Header, name string) string {
	for _, h := range headers {
		if strings.EqualFold(h.Name, name) {
			return h.Value
		}
	}
	return ""
}

func isEvents(headers []proto.Header) bool {
	return strings.HasPrefix(headerOf(headers, fiber.HeaderContentType), eventStream)
}
