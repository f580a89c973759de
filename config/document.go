package config

// Document is the whole configuration at one revision, with the records of the latest changes in the same value.
type Document struct {
	Revision uint64    `json:"revision"`
	Classes  []Class   `json:"classes" validate:"dive"`
	Accounts []Account `json:"accounts" validate:"dive"`
	Groups   []Group   `json:"groups" validate:"dive"`
	// Drained lists the upstream instances that an operator has taken out of service.
	Drained []string `json:"drained"`
	// Records holds the latest changes, oldest first; older ones stand in pages.
	Records []Record `json:"records"`
}
