package setup

// RetryBudget limits the retries that all entries together send to a service: within Window, Ratio
// retries per request plus Slack further retries.
type RetryBudget struct {
	Ratio  float64  `json:"ratio" validate:"min=0,max=1"`
	Slack  float64  `json:"slack" validate:"min=0"`
	Window Duration `json:"window"`
}
