// Package chaos injects random faults from a seed into a running deployment, while callers and
// operators continue to send requests, and checks its invariants.
package chaos
