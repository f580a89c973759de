// Package place assigns the experts of a group to its ranks, with as few copies as needed to reach
// a target skew.
package place
