package plan

// Account is a client account with its API keys.
type Account struct {
	// Name is empty if it isn't understood. Requests that need an account must be refused then.
	Name string
	Keys []string
	// Rank overrides the rank of the route if it is set.
	Rank *int
}
