// Package agent runs the process beside one upstream: the only one that speaks to it and the authority on what has run there.
package agent
