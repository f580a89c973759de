// Package oper implements the operator commands, which read and change the configuration through
// any entry.
package oper
