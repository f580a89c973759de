// Command policy measures the decisions against baselines, on the pure packages and a fake clock, and writes tables and plots.
package main
