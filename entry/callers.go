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
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerWorkClass      = "X-Work-Class"
	headerTimeout        = "X-Request-Timeout"
	maxIDLength          = 128
	maxKeyLength         = 255
	defaultMaxTokens     = 16
	prefixHashBytes      = 256
	servicesPrefix       = "/services/"
	modelsPath           = "/v1/models"
	readTimeout          = time.Minute
)

func (e *Entry) callerRoutes() *fiber.App {
	app := fiber.New(fiber.Config{
		AppName:   "geraniumpass entry",
		BodyLimit: prefetchBytes,
		// Handlers read bodies within the memory of the process.
		StreamRequestBody: true,
		ReadBufferSize:    maxHeaderBytes,
		ReadTimeout:       readTimeout,
		ErrorHandler:      callerError,
		// A streamed request outlives its handler, so fiber must not reuse the buffers behind its
		// strings.
		Immutable: true,
	})
	app.Use(e.closeWhenStopping)
	app.Get("/livez", func(c fiber.Ctx) error { return c.SendString("ok") })
	app.Get("/readyz", e.ready)
	app.Get(modelsPath, e.models)
	app.All("/v1/completions", e.completion)
	app.All("/v1/chat/completions", e.completion)
	app.All(servicesPrefix+":service/*", e.plain)
	app.All(servicesPrefix+":service", e.plain)
	return app
}

// callerError responds to requests that fiber rejected before any handler ran.
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

// closeWhenStopping closes the connections of a stopping entry so that callers reconnect to another
// one. It looks when the answer begins, since the stop may have come after the request.
func (e *Entry) closeWhenStopping(c fiber.Ctx) error {
	err := c.Next()
	if e.stopping.Load() {
		c.Response().SetConnectionClose()
	}
	return err
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

// newRequest authenticates a request and reads its ID and deadline.
func (e *Entry) newRequest(c fiber.Ctx) (*request, error) {
	now := e.clock.Now()
	r := &request{
		id:        c.Get(headerRequestID),
		method:    c.Method(),
		startedAt: now,
		deadline:  now.Add(e.cfg.DefaultDeadline.Duration),
		tried:     make(map[string]bool),
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
	account, ok := doc.AccountByKey(hex.EncodeToString(sum[:]))
	if !ok {
		return r, core.NotRun(core.ReasonUnauthorized, "the bearer key belongs to no account")
	}
	r.account = account.Name
	if t := c.Get(headerTimeout); t != "" {
		d, err := parseTimeout(t)
		if err != nil {
			return r, core.NotRun(core.ReasonBadRequest, headerTimeout+" must be a number of seconds or a duration such as 1.5s")
		}
		r.deadline = now.Add(d)
	}
	return r, nil
}

func parseTimeout(s string) (time.Duration, error) {
	if n, err := strconv.ParseFloat(s, 64); err == nil && n > 0 {
		return time.Duration(n * float64(time.Second)), nil
	}
	d, err := time.ParseDuration(s)
	if err == nil && d <= 0 {
		return 0, strconv.ErrRange
	}
	return d, err
}

// respond serves an admitted request and sends its answer, either streamed or buffered.
func (e *Entry) respond(c fiber.Ctx, r *request) error {
	r.class = e.config.Document().Classify(r.service, r.account, c.Get(headerWorkClass))
	r.headers = proto.Headers(c.Request().Header.All(), hopHeaders)
	e.inFlight.Add(1)
	if r.stream {
		return e.respondStream(c, r)
	}
	defer e.inFlight.Add(-1)
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

func (e *Entry) respondStream(c fiber.Ctx, r *request) error {
	out := newStreamSink()
	go func() {
		err := e.serve(r, out)
		if !r.headSent {
			close(out.head)
		}
		out.finish(err)
	}()
	head, ok := <-out.head
	if !ok {
		defer e.inFlight.Add(-1)
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
		defer e.inFlight.Add(-1)
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

// refuse records the result and responds with a problem document.
func (e *Entry) refuse(c fiber.Ctx, r *request, err error) error {
	e.finish(r, err)
	return sendProblem(c, refusalOf(err), r.id)
}

// refusalOf returns the refusal that an error holds, or one that leaves open whether the request ran.
func refusalOf(err error) *core.Refusal {
	var refusal *core.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return core.Unknown(core.ReasonUpstreamLost, err.Error())
}
