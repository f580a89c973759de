//go:build !go1.27

package start

import "net/http"

// allowAnyFields does nothing, because net/http has no bound on the number of header fields before Go 1.27.
func allowAnyFields(*http.Server) {}
