package start

import (
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"geraniumpass/group"
)

// TestSidecarServesCounters guards against counters of sidecars that no operator can read.
func TestSidecarServesCounters(t *testing.T) {
	ctx := &fasthttp.RequestCtx{}
	ctx.Request.SetRequestURI("/debug/vars")
	sidecarHandler(&group.Member{}, hclog.NewNullLogger())(ctx)
	if body := string(ctx.Response.Body()); ctx.Response.StatusCode() != fasthttp.StatusOK || !strings.Contains(body, "group_loads_published") {
		t.Errorf("answered %d: %.200s", ctx.Response.StatusCode(), body)
	}
}
