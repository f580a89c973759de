// Package entry implements the process that admits, classifies and routes callers' requests.
package entry
