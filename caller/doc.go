// Package caller provides a test caller that verifies every byte of the responses it receives.
package caller
