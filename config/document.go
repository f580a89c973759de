package config

// Document is the complete configuration at one revision, together with its most recent audit
// records.
type Document struct {
	Revision uint64    `json:"revision"`
	Classes  []Class   `json:"classes" validate:"dive"`
	Accounts []Account `json:"accounts" validate:"dive"`
	Groups   []Group   `json:"groups" validate:"dive"`
	// Drained lists the upstream instances that an operator has drained.
	Drained []string `json:"drained"`
	// Records holds the most recent changes, oldest first. Older ones are stored in audit pages.
	Records []Record `json:"records"`
}
