// Package store reaches the platform's key-value service and tells apart what did, did not and may have taken effect.
package store
