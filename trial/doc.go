// Package trial drives the routing, queueing and placement decisions with small fakes and a fake clock, to measure them against baselines.
package trial
