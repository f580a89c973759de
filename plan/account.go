package plan

// Account is a client account with its API keys.
type Account struct {
	Name string
	Keys []string
	// Rank overrides the rank of the route if it is set.
	Rank *int
}
