// Package ledger records every attempt at an agent, so that no attempt runs twice and no refused
// attempt ever runs.
package ledger
