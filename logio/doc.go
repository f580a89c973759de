// Package logio provides a log writer that never blocks its callers.
package logio
