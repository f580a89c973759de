// Package answer numbers, buffers and reassembles the parts of an answer.
package answer
