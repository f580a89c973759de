package entry

import (
	"errors"
	"time"

	"github.com/gofiber/fiber/v3"

	"geraniumpass/accept"
	"geraniumpass/core"
)

const (
	// noMemoryBackoff is the Retry-After of requests for which there is no memory.
	noMemoryBackoff = time.Second
	// prefetchBytes is the body limit of servers that stream bodies: they read so much before the handler,
	// which has the limit of the body itself.
	prefetchBytes = 1
)

// readBody reads the body of a request whose sender is known, unchanged and up to limit bytes. It fails with a
// *core.Refusal.
func readBody(c fiber.Ctx, limit int) ([]byte, error) {
	// Connections of other listeners have no bounds.
	conn, _ := c.RequestCtx().Conn().(*accept.Conn)
	defer conn.MarkRunning()
	stream := c.Request().BodyStream()
	if stream == nil {
		return append([]byte{}, c.Request().Body()...), nil
	}
	body, err := conn.ReadBody(stream, int64(max(-1, c.Request().Header.ContentLength())), int64(limit))
	if err == nil {
		return body, nil
	}
	c.Response().SetConnectionClose()
	var tooLarge *accept.TooLargeError
	var noMemory *accept.NoMemoryError
	switch {
	case errors.As(err, &tooLarge):
		return nil, core.NotRun(core.ReasonTooLarge, err.Error())
	case errors.As(err, &noMemory):
		refusal := core.NotRun(core.ReasonOverload, err.Error())
		refusal.RetryAfter = noMemoryBackoff
		return nil, refusal
	}
	return nil, core.NotRun(core.ReasonBadRequest, "the body is not complete: "+err.Error())
}
