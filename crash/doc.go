// Package crash detects requests that crash the upstream instances running them, so that all
// entries refuse such a request, and segments of prompts that crash them in any request. It identifies
// both by digest and records the instance terminations that coincide with them. Entries share these records over their links and through
// the store.
package crash
