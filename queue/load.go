package queue

// ClassLoad is the waiting cost and item count of one class.
type ClassLoad struct {
	Class string
	Cost  float64
	N     int
}
