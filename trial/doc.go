// Package trial simulates the production decision code (routing, queueing, admission, retry
// backoff, placement) with small fakes and a fake clock, to compare it with baselines.
package trial
