package entry

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"geraniumpass/core"
	"geraniumpass/proto"
)

const (
	headerRequestID = "X-Request-Id"
	headerKey       = "Idempotency-Key"
	headerLabel     = "X-Work-Class"
	headerTimeout   = "X-Request-Timeout"
	maxIDLength     = 128
	maxKeyLength    = 255
	defaultTokens   = 16
	prefixBytes     = 256
	servicesPrefix  = "/services/"
	modelsPath      = "/v1/models"
	readTimeout     = time.Minute
)

func (e *Entry) callerRoutes() *fiber.App {
	app := fiber.New(fiber.Config{
		AppName:        "geraniumpass entry",
		BodyLimit:      e.cfg.MaxBody,
		ReadBufferSize: headerBytes,
		ReadTimeout:    readTimeout,
		ErrorHandler:   callerError,
		// A streamed request outlives its handler, so that what is read of it must not be reused.
		Immutable: true,
	})
	app.Use(e.tellStopping)
	app.Get("/livez", func(c fiber.Ctx) error { return c.SendString("ok") })
	app.Get("/readyz", e.ready)
	app.Get(modelsPath, e.models)
	app.All("/v1/completions", e.completion)
	app.All("/v1/chat/completions", e.completion)
	app.All(servicesPrefix+":service/*", e.plain)
	app.All(servicesPrefix+":service", e.plain)
	return app
}

// callerError answers what fiber itself found wrong with a request, which was then never run.
func callerError(c fiber.Ctx, err error) error {
	var fe *fiber.Error
	reason := core.ReasonBadRequest
	if errors.As(err, &fe) {
		switch fe.Code {
		case fiber.StatusRequestEntityTooLarge:
			reason = core.ReasonTooLarge
		case fiber.StatusRequestHeaderFieldsTooLarge:
			reason = core.ReasonHeaderTooLarge
		case fiber.StatusNotFound:
			reason = core.ReasonNoService
		case fiber.StatusMethodNotAllowed:
			reason = core.ReasonMethodNotAllowed
		}
	}
	return sendProblem(c, core.NotRun(reason, err.Error()), "")
}

// tellStopping has callers of a stopping entry open their next connection elsewhere.
func (e *Entry) tellStopping(c fiber.Ctx) error {
	if e.stopping.Load() {
		c.Response().SetConnectionClose()
	}
	return c.Next()
}

func (e *Entry) ready(c fiber.Ctx) error {
	switch {
	case e.stopping.Load():
		return c.Status(fiber.StatusServiceUnavailable).SendString("stopping")
	case e.config.Document().Revision == 0:
		return c.Status(fiber.StatusServiceUnavailable).SendString("no configuration yet")
	}
	return c.SendString("ok")
}

// begin reads what all requests have: who asks, under which id, and until when.
func (e *Entry) begin(c fiber.Ctx) (*request, error) {
	now := e.clock.Now()
	r := &request{
		id:       c.Get(headerRequestID),
		method:   c.Method(),
		started:  now,
		deadline: now.Add(e.cfg.DefaultDeadline.Duration),
		tried:    make(map[string]bool),
	}
	if r.id == "" || len(r.id) > maxIDLength {
		r.id = e.cfg.ID + "-" + strconv.FormatUint(e.self.Incarnation, 36) + "-" + strconv.FormatUint(e.requests.Add(1), 36)
	}
	c.Set(headerRequestID, r.id)
	doc := e.config.Document()
	if doc.Revision == 0 {
		return r, core.NotRun(core.ReasonNoConfig, "this entry holds no configuration yet")
	}
	token, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok {
		return r, core.NotRun(core.ReasonUnauthorized, "a bearer key is needed in the Authorization header")
	}
	sum := sha256.Sum256([]byte(token))
	account, ok := doc.AccountOf(hex.EncodeToString(sum[:]))
	if !ok {
		return r, core.NotRun(core.ReasonUnauthorized, "the bearer key belongs to no account")
	}
	r.account = account.Name
	if t := c.Get(headerTimeout); t != "" {
		d, err := timeout(t)
		if err != nil {
			return r, core.NotRun(core.ReasonBadRequest, headerTimeout+" must be a number of seconds or a duration such as 1.5s")
		}
		r.deadline = now.Add(d)
	}
	return r, nil
}

func timeout(s string) (time.Duration, error) {
	if n, err := strconv.ParseFloat(s, 64); err == nil && n > 0 {
		return time.Duration(n * float64(time.Second)), nil
	}
	d, err := time.ParseDuration(s)
	if err == nil && d <= 0 {
		return 0, strconv.ErrRange
	}
	return d, err
}

// answer serves an admitted request, streamed or whole.
func (e *Entry) answer(c fiber.Ctx, r *request) error {
	r.class = e.config.Document().Classify(r.service, r.account, c.Get(headerLabel))
	r.headers = proto.Headers(c.Request().Header.All(), skipped)
	r.body = append([]byte{}, c.Body()...)
	e.open.Add(1)
	if r.stream {
		return e.answerStream(c, r)
	}
	defer e.open.Add(-1)
	out := &bufferSink{}
	if err := e.serve(r, out); err != nil {
		return e.refuse(c, r, err)
	}
	for _, h := range out.headers {
		c.Response().Header.Add(h.Name, h.Value)
	}
	c.Set(headerRequestID, r.id)
	e.finish(r, nil)
	return c.Status(out.status).Send(out.body)
}

func (e *Entry) answerStream(c fiber.Ctx, r *request) error {
	out := newStreamSink()
	go func() {
		err := e.serve(r, out)
		if !r.headSent {
			close(out.head)
		}
		out.end(err)
	}()
	head, ok := <-out.head
	if !ok {
		defer e.open.Add(-1)
		for range out.data {
			continue
		}
		return e.refuse(c, r, out.err)
	}
	for _, h := range head.Headers {
		c.Response().Header.Add(h.Name, h.Value)
	}
	c.Set(headerRequestID, r.id)
	c.Status(head.Status)
	return c.SendStreamWriter(func(w *bufio.Writer) {
		defer e.open.Add(-1)
		err := out.copyTo(w)
		e.finish(r, err)
		var refusal *core.Refusal
		if errors.As(err, &refusal) {
			b, _ := json.Marshal(problemOf(refusal, r.id))
			_, _ = fmt.Fprintf(w, "event: error\ndata: %s\n\n", b)
			_ = w.Flush()
		}
	})
}

// refuse answers with a problem document and counts the request.
func (e *Entry) refuse(c fiber.Ctx, r *request, err error) error {
	var refusal *core.Refusal
	if !errors.As(err, &refusal) {
		refusal = core.Unknown(core.ReasonUpstreamLost, err.Error())
	}
	e.finish(r, err)
	return sendProblem(c, refusal, r.id)
}
