// Package accept accepts connections of clients that may not keep to any limit. It bounds the number of
// connections and the bytes that a process holds for them, closes those that take longer for a request than
// they may, and closes the least useful ones when there are too many.
package accept
