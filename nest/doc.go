// Package nest bounds how deeply JSON from outside may be nested. Decoders call themselves for each level, so
// that a few KB of brackets take MBs of stack, and the bound is checked before they see them.
package nest
