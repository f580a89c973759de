package entry

import (
	"errors"
	"time"

	"github.com/gofiber/fiber/v3"

	"geraniumpass/accept"
	"geraniumpass/core"
)

// noMemoryBackoff is the Retry-After of requests for which there is no memory.
const noMemoryBackoff = time.Second

// readBody reads the body of an authenticated request, unchanged.
func (e *Entry) readBody(c fiber.Ctx, r *request) error {
	// Connections of other listeners have no bounds.
	conn, _ := c.RequestCtx().Conn().(*accept.Conn)
	defer conn.MarkRunning()
	stream := c.Request().BodyStream()
	if stream == nil {
		r.body = append([]byte{}, c.Request().Body()...)
		return nil
	}
	body, err := conn.ReadBody(stream, int64(max(-1, c.Request().Header.ContentLength())), int64(e.cfg.MaxBody))
	if err == nil {
		r.body = body
		return nil
	}
	c.Response().SetConnectionClose()
	var tooLarge *accept.TooLargeError
	var noMemory *accept.NoMemoryError
	switch {
	case errors.As(err, &tooLarge):
		return core.NotRun(core.ReasonTooLarge, err.Error())
	case errors.As(err, &noMemory):
		refusal := core.NotRun(core.ReasonOverload, err.Error())
		refusal.RetryAfter = noMemoryBackoff
		return refusal
	}
	return core.NotRun(core.ReasonBadRequest, "the body is not complete: "+err.Error())
}
