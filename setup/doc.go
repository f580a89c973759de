// Package setup reads a role's settings from JSON with comments and reports all errors in them at
// once.
package setup
