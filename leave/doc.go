// Package leave tracks the instances that announced in an answer that they leave, by incarnation
// (core.Start).
package leave
