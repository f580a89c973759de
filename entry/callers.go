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

	"github.com/cespare/xxhash/v2"
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
			reason = core.ReasonMethod
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

// completionBody is what the entry reads of a completion request; the rest is passed on unread.
type completionBody struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt"`
	Messages  []core.Prompt `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

func (e *Entry) completion(c fiber.Ctx) error {
	r, err := e.begin(c)
	if err != nil {
		return e.refuse(c, r, err)
	}
	if c.Method() != fiber.MethodPost {
		c.Set(fiber.HeaderAllow, fiber.MethodPost)
		return e.refuse(c, r, core.NotRun(core.ReasonMethod, "completions are made by POST"))
	}
	var body completionBody
	if err := json.Unmarshal(c.Body(), &body); err != nil {
		return e.refuse(c, r, core.NotRun(core.ReasonBadRequest, "the body is not the JSON of a completion request: "+err.Error()))
	}
	if kind, ok := e.peers.kind(body.Model); !ok || kind != core.KindModel {
		return e.refuse(c, r, core.NotRun(core.ReasonNoService, "there is no model "+strconv.Quote(body.Model)))
	}
	if body.MaxTokens <= 0 {
		body.MaxTokens = defaultTokens
	}
	r.service = body.Model
	r.path = c.Path()
	r.stream = body.Stream
	r.idempotent = true
	r.cost = float64(body.MaxTokens)
	r.prefix = prefixOf(&body)
	return e.answer(c, r)
}

// prefixOf hashes the beginning of the prompt, by which engines cache.
func prefixOf(b *completionBody) uint64 {
	text := b.Prompt
	if len(b.Messages) > 0 {
		text = b.Messages[0].Content
	}
	if len(text) < prefixBytes {
		return 0
	}
	return xxhash.Sum64String(text[:prefixBytes])
}

func (e *Entry) plain(c fiber.Ctx) error {
	r, err := e.begin(c)
	if err != nil {
		return e.refuse(c, r, err)
	}
	r.service = c.Params("service")
	if kind, ok := e.peers.kind(r.service); !ok || kind != core.KindPlain {
		return e.refuse(c, r, core.NotRun(core.ReasonNoService, "there is no service "+strconv.Quote(r.service)))
	}
	r.path = plainPath(string(c.Request().RequestURI()), r.service)
	r.idempotent = idempotent(c.Method())
	r.key = c.Get(headerKey)
	if len(r.key) > maxKeyLength {
		return e.refuse(c, r, core.NotRun(core.ReasonBadRequest, fmt.Sprintf("%s is longer than %d characters", headerKey, maxKeyLength)))
	}
	r.cost = 1
	return e.answer(c, r)
}

// plainPath is what follows the service's name in the target, query and all, as the caller wrote it.
func plainPath(uri, service string) string {
	rest := strings.TrimPrefix(uri, servicesPrefix+service)
	if !strings.HasPrefix(rest, "/") {
		return "/" + rest
	}
	return rest
}

// idempotent follows RFC 9110, section 9.2.2.
func idempotent(method string) bool {
	switch method {
	case fiber.MethodGet, fiber.MethodHead, fiber.MethodOptions, fiber.MethodPut, fiber.MethodDelete, fiber.MethodTrace:
		return true
	}
	return false
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
	r.headers = requestHeaders(c)
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

// refuse answers with a problem document and counts the request.
func (e *Entry) refuse(c fiber.Ctx, r *request, err error) error {
	var refusal *core.Refusal
	if !errors.As(err, &refusal) {
		refusal = core.Unknown(core.ReasonUpstreamLost, err.Error())
	}
	e.finish(r, err)
	return sendProblem(c, refusal, r.id)
}

// models lists the services that are model engines, in the common shape.
func (e *Entry) models(c fiber.Ctx) error {
	if _, err := e.begin(c); err != nil {
		return e.refuse(c, &request{}, err)
	}
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	type models struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}
	out := models{Object: "list"}
	for _, s := range e.peers.serviceNames() {
		if k, _ := e.peers.kind(s); k == core.KindModel {
			out.Data = append(out.Data, model{
				ID:     s,
				Object: "model",
			})
		}
	}
	return c.JSON(out)
}
