// Package setup reads a role's settings from JSON with comments and reports every error in them at once.
package setup
