package stand

import (
	"encoding/json"
	"net"

	"github.com/valyala/fasthttp"
)

// ReadJSON decodes a request's body into v, or answers 400 and returns false.
func ReadJSON(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON answers with v and leaves the status as it is.
func WriteJSON(ctx *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// LoseAnswer closes the caller's connection without an answer, as when it is lost on its way.
func LoseAnswer(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(closeConn)
}

func closeConn(c net.Conn) {
	_ = c.Close()
}
