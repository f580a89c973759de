package entry

import (
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"

	"geraniumpass/core"
)

// completionBody holds the fields of a completion request that the entry reads.
type completionBody struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt"`
	Messages  []core.Prompt `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

func (e *Entry) completion(c fiber.Ctx) error {
	r, err := e.newRequest(c)
	if err != nil {
		return e.refuse(c, r, err)
	}
	if c.Method() != fiber.MethodPost {
		c.Set(fiber.HeaderAllow, fiber.MethodPost)
		return e.refuse(c, r, core.NotRun(core.ReasonMethodNotAllowed, "completions are made by POST"))
	}
	if r.body, err = readBody(c, e.cfg.MaxBody); err != nil {
		return e.refuse(c, r, err)
	}
	var body completionBody
	if err := json.Unmarshal(r.body, &body); err != nil {
		return e.refuse(c, r, core.NotRun(core.ReasonBadRequest, "the body is not the JSON of a completion request: "+err.Error()))
	}
	if kind, ok := e.peers.kind(body.Model); !ok || kind != core.KindModel {
		return e.refuse(c, r, core.NotRun(core.ReasonNoService, "there is no model "+strconv.Quote(body.Model)))
	}
	if body.MaxTokens <= 0 {
		body.MaxTokens = defaultMaxTokens
	}
	r.service = body.Model
	r.path = c.Path()
	r.stream = body.Stream
	r.idempotent = true
	r.cost = float64(body.MaxTokens)
	r.prefixHash = prefixOf(&body)
	return e.respond(c, r)
}

// prefixOf hashes the beginning of the prompt for cache affinity: engines cache by prompt prefix.
func prefixOf(b *completionBody) uint64 {
	text := b.Prompt
	if len(b.Messages) > 0 {
		text = b.Messages[0].Content
	}
	if len(text) < prefixHashBytes {
		return 0
	}
	return xxhash.Sum64String(text[:prefixHashBytes])
}

// models lists the model services in the format of the OpenAI models endpoint.
func (e *Entry) models(c fiber.Ctx) error {
	if _, err := e.newRequest(c); err != nil {
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
