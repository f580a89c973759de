// Package ledger keeps an agent's record of every attempt, so that nothing runs twice and nothing refused runs at all.
package ledger
