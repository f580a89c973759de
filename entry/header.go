package entry

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
