package setup

// ColdAllowance limits the requests that all entries together send to a cold instance: within any
// second, Overage times the rate that the manifest gives for it plus Slack requests.
type ColdAllowance struct {
	Overage float64 `json:"overage" validate:"min=0"`
	Slack   float64 `json:"slack" validate:"min=0"`
}
