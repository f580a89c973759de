// Package queue orders work before one upstream by target and fair share, and learns how much of it to run at once.
package queue
