// Package chaos breaks a running deployment at random, from a seed, while callers and operators go on, and checks what must always hold.
package chaos
