// Package store defines the interface of the platform's key-value service and errors that
// distinguish calls that had no effect from those with an unknown outcome.
package store
