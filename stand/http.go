package stand

import (
	"encoding/json"
	"net"

	"github.com/valyala/fasthttp"
)

// ReadJSON decodes the request body into v; on failure it responds with status 400 and returns
// false.
func ReadJSON(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON writes v as the JSON response body and leaves the status unchanged.
func WriteJSON(ctx *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// DropResponse closes the caller's connection without a response, as if the response had been lost
// in transit.
func DropResponse(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(closeConn)
}

func closeConn(c net.Conn) {
	_ = c.Close()
}
