// Command policy compares the production policies with baselines in simulations and writes tables
// and plots.
package main
