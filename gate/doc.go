// Package gate serves callers: it routes each request, sends it to an upstream, retries it where
// that is allowed, and forwards the answer.
// It uses the HTTP/1.1 codecs of net/http over its own connections to upstreams, because
// http.Client retries requests on its own and the servers of fiber and fasthttp don't report when a
// caller disconnects.
package gate
