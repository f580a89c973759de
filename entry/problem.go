package entry

import (
	"encoding/json"
	"math"
	"strconv"

	"github.com/gofiber/fiber/v3"

	"geraniumpass/core"
)

const (
	problemType = "application/problem+json"
	problemBase = "urn:geraniumpass:problem:"
)

// Problem is an RFC 9457 problem document with the outcome of the request.
type Problem struct {
	Type      string       `json:"type"`
	Title     string       `json:"title"`
	Status    int          `json:"status"`
	Detail    string       `json:"detail"`
	Outcome   core.Outcome `json:"outcome"`
	RequestID string       `json:"request_id,omitempty"`
}

// statusByReason maps refusal reasons to HTTP statuses; reasons not listed map to 503.
var statusByReason = map[core.Reason]int{
	core.ReasonBadRequest:       fiber.StatusBadRequest,
	core.ReasonUnauthorized:     fiber.StatusUnauthorized,
	core.ReasonNoService:        fiber.StatusNotFound,
	core.ReasonTooLarge:         fiber.StatusRequestEntityTooLarge,
	core.ReasonHeaderTooLarge:   fiber.StatusRequestHeaderFieldsTooLarge,
	core.ReasonMethodNotAllowed: fiber.StatusMethodNotAllowed,
	core.ReasonKeyReused:        fiber.StatusUnprocessableEntity,
	core.ReasonOverload:         fiber.StatusTooManyRequests,
	core.ReasonTargetMissed:     fiber.StatusTooManyRequests,
	core.ReasonDeadline:         fiber.StatusGatewayTimeout,
	core.ReasonUpstreamLost:     fiber.StatusBadGateway,
	core.ReasonClaimHolderLost:  fiber.StatusBadGateway,
	core.ReasonClaimUnchecked:   fiber.StatusServiceUnavailable,
}

func problemOf(r *core.Refusal, id string) Problem {
	status, ok := statusByReason[r.Reason]
	if !ok {
		status = fiber.StatusServiceUnavailable
	}
	return Problem{
		Type:      problemBase + string(r.Reason),
		Title:     string(r.Reason),
		Status:    status,
		Detail:    r.Detail,
		Outcome:   r.Outcome,
		RequestID: id,
	}
}

func sendProblem(c fiber.Ctx, r *core.Refusal, id string) error {
	p := problemOf(r, id)
	b, err := json.Marshal(p)
	if err != nil {
		return err
	}
	if r.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	if p.Status == fiber.StatusUnauthorized {
		c.Set(fiber.HeaderWWWAuthenticate, "Bearer")
	}
	c.Set(fiber.HeaderContentType, problemType)
	return c.Status(p.Status).Send(b)
}
