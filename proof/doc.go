// Package proof holds the tests that break a whole deployment of real processes and check what must always hold.
package proof
