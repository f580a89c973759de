// Package queue orders the work of one upstream by latency target and fair share, and learns its
// concurrency limit.
package queue
