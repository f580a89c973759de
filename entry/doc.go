// Package entry runs the process that callers reach: it admits, classifies, routes and answers their requests.
package entry
