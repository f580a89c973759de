package entry

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/gofiber/fiber/v3"

	"geraniumpass/core"
)

func (e *Entry) plain(c fiber.Ctx) error {
	r, err := e.newRequest(c)
	if err != nil {
		return e.refuse(c, r, err)
	}
	r.service = c.Params("service")
	if kind, ok := e.peers.kind(r.service); !ok || kind != core.KindPlain {
		return e.refuse(c, r, core.NotRun(core.ReasonNoService, "there is no service "+strconv.Quote(r.service)))
	}
	r.path = plainPath(string(c.Request().RequestURI()), r.service)
	r.idempotent = idempotent(c.Method())
	r.key = c.Get(headerIdempotencyKey)
	if len(r.key) > maxKeyLength {
		return e.refuse(c, r, core.NotRun(core.ReasonBadRequest, fmt.Sprintf("%s is longer than %d characters", headerIdempotencyKey, maxKeyLength)))
	}
	if r.body, err = readBody(c, e.cfg.MaxBody); err != nil {
		return e.refuse(c, r, err)
	}
	r.cost = 1
	return e.respond(c, r)
}

// plainPath returns the request target after the service name, including the query, unmodified.
func plainPath(uri, service string) string {
	rest := strings.TrimPrefix(uri, servicesPrefix+service)
	if !strings.HasPrefix(rest, "/") {
		return "/" + rest
	}
	return rest
}

// idempotent reports whether a method is idempotent according to RFC 9110, section 9.2.2.
func idempotent(method string) bool {
	switch method {
	case fiber.MethodGet, fiber.MethodHead, fiber.MethodOptions, fiber.MethodPut, fiber.MethodDelete, fiber.MethodTrace:
		return true
	}
	return false
}
