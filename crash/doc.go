// Package crash detects requests that crash the upstream instances running them, so that all
// entries refuse such a request. It identifies requests by digest and records the instance
// terminations that coincide with them. Entries share these records over their links and through
// the store.
package crash
