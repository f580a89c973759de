// Package trial drives the decisions that ship (routing, queueing, the line before engines, returns, placement) with small fakes and a fake
// clock, to measure them against baselines.
package trial
