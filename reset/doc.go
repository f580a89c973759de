// Package reset provides connections on which a reset is never read as the end of the received bytes.
package reset
