// Package place decides which ranks of a group hold which experts, with as few moves as reach a target.
package place
