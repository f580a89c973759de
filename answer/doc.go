// Package answer numbers, buffers, reorders and completes the parts of an answer.
package answer
