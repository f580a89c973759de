package setup

// Repeat is the retry budget for a service, shared by all entries: within Window they may send
// Ratio retries per request plus Slack further retries.
type Repeat struct {
	Ratio  float64  `json:"ratio" validate:"min=0,max=1"`
	Slack  float64  `json:"slack" validate:"min=0"`
	Window Duration `json:"window"`
}
