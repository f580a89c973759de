// Package budget bounds the bytes that a process holds for its clients.
package budget
