// Package leave knows which starts of instances have said in an answer that they leave.
package leave
