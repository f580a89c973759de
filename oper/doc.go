// Package oper is the operator's command line: it reads and changes the configuration through any entry.
package oper
