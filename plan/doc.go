// Package plan holds the table by which callers' requests are routed: routes, services, limits and
// client accounts. A table is immutable once compiled, so that a request sees a single version from
// start to end.
package plan
