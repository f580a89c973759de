package entry

import (
	"context"
	"crypto/subtle"
	"errors"
	"expvar"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"

	"geraniumpass/config"
	"geraniumpass/setup"
	"geraniumpass/store"
	"geraniumpass/wire"
)

const (
	operatorBase = "/operator"
	// maxChangeBytes bounds the body of a change.
	maxChangeBytes = 1 << 20
	changeTimeout  = 10 * time.Second
)

// ChangeRequest is an operator's change against a base revision; the ID makes retries idempotent.
type ChangeRequest struct {
	ID   string      `json:"id" validate:"required,max=128"`
	Base uint64      `json:"base"`
	Who  string      `json:"who" validate:"required,max=128"`
	Note string      `json:"note" validate:"max=1024"`
	Ops  []config.Op `json:"ops" validate:"min=1,dive"`
}

// ChangeReply is the result of a change; at most one of Unsure, Findings and Others is set, and
// none if it was accepted.
type ChangeReply struct {
	Accepted bool                `json:"accepted"`
	Revision uint64              `json:"revision"`
	Unsure   bool                `json:"unsure,omitempty"`
	Detail   string              `json:"detail,omitempty"`
	Findings []*setup.ValueError `json:"findings,omitempty"`
	Others   []config.Record     `json:"others,omitempty"`
}

func (e *Entry) controlRoutes() *fiber.App {
	app := fiber.New(fiber.Config{
		AppName:   "geraniumpass control",
		BodyLimit: prefetchBytes,
		// Handlers read bodies within the memory of the process, once the operator is known.
		StreamRequestBody: true,
		Immutable:         true,
	})
	app.Get("/livez", func(c fiber.Ctx) error { return c.SendString("ok") })
	app.Get("/readyz", e.ready)
	app.Get("/debug/vars", adaptor.HTTPHandler(expvar.Handler()))
	app.Get("/link", func(c fiber.Ctx) error {
		return wire.Accept(c.RequestCtx(), e.self, []byte(e.cfg.LinkKey), e.gossip.accept)
	})
	op := app.Group(operatorBase, e.requireOperatorKey)
	op.Get("/config", func(c fiber.Ctx) error { return c.JSON(e.config.Document()) })
	op.Get("/audit", e.audit)
	op.Get("/status", func(c fiber.Ctx) error { return c.JSON(e.status()) })
	op.Post("/change", e.postChange)
	return app
}

func (e *Entry) requireOperatorKey(c fiber.Ctx) error {
	token, _ := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if subtle.ConstantTimeCompare([]byte(token), []byte(e.cfg.OperatorKey)) != 1 {
		return c.Status(fiber.StatusUnauthorized).JSON(ChangeReply{Detail: "the operator key is wrong"})
	}
	return c.Next()
}

func (e *Entry) audit(c fiber.Ctx) error {
	first, err := strconv.ParseUint(c.Query("since", "1"), 10, 64)
	if err != nil {
		return c.Status(fiber.StatusBadRequest).JSON(ChangeReply{Detail: "since must be a revision number"})
	}
	records, err := e.configWriter.audit(c.Context(), first)
	if err != nil {
		return c.Status(fiber.StatusServiceUnavailable).JSON(ChangeReply{Detail: err.Error()})
	}
	return c.JSON(records)
}

func (e *Entry) postChange(c fiber.Ctx) error {
	body, err := readBody(c, maxChangeBytes)
	if err != nil {
		return sendProblem(c, refusalOf(err), "")
	}
	var req ChangeRequest
	if err := setup.Parse("change", body, &req); err != nil {
		return c.Status(fiber.StatusBadRequest).JSON(changeErrorReply(err))
	}
	ctx, cancel := context.WithTimeout(e.ctx, changeTimeout)
	defer cancel()
	revision, err := e.configWriter.apply(ctx, req.Base, config.Record{
		ID:   req.ID,
		Who:  req.Who,
		Note: req.Note,
		Ops:  req.Ops,
	})
	if err != nil {
		e.log.Info("configuration change not accepted", "change", req.ID, "who", req.Who, "error", err)
		return c.Status(changeStatus(err)).JSON(changeErrorReply(err))
	}
	e.log.Info("configuration change accepted", "change", req.ID, "who", req.Who, "revision", revision)
	return c.JSON(ChangeReply{
		Accepted: true,
		Revision: revision,
	})
}

func changeStatus(err error) int {
	var lost *config.ConflictError
	var invalid *config.InvalidError
	var unsure *config.UnconfirmedError
	switch {
	case errors.As(err, &lost):
		return fiber.StatusConflict
	case errors.As(err, &invalid):
		return fiber.StatusUnprocessableEntity
	case errors.As(err, &unsure):
		return fiber.StatusGatewayTimeout
	}
	return fiber.StatusServiceUnavailable
}

func changeErrorReply(err error) ChangeReply {
	reply := ChangeReply{Detail: err.Error()}
	var lost *config.ConflictError
	var invalid *config.InvalidError
	var unsure *config.UnconfirmedError
	var report *setup.ValidationError
	var down *store.DownError
	switch {
	case errors.As(err, &lost):
		reply.Revision = lost.Current
		reply.Others = lost.Others
	case errors.As(err, &invalid):
		reply.Findings = invalid.Findings
	case errors.As(err, &report):
		reply.Findings = report.Findings
	case errors.As(err, &unsure):
		reply.Unsure = true
	case errors.As(err, &down):
		reply.Detail = "not accepted: " + err.Error()
	}
	return reply
}
