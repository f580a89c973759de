// Package caller is a stand-in caller that checks every byte of what it is answered.
package caller
