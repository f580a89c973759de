// Package agent implements the process in front of one upstream. The agent is the upstream's only
// client and the authority on which requests ran there.
package agent
