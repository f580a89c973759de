package entry

import (
	"strings"

	"github.com/gofiber/fiber/v3"

	"geraniumpass/proto"
)

// skipped are the headers that are this hop's own business.
var skipped = map[string]bool{
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
	"expect":            true,
}

func requestHeaders(c fiber.Ctx) []proto.Header {
	var out []proto.Header
	for k, v := range c.Request().Header.All() {
		if skipped[strings.ToLower(string(k))] {
			continue
		}
		out = append(out, proto.Header{
			Name:  string(k),
			Value: string(v),
		})
	}
	return out
}
