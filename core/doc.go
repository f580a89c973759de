// Package core holds the data types that every other package shares.
package core
