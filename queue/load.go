package queue

// ClassLoad is what waits for one class.
type ClassLoad struct {
	Class string
	Cost  float64
	N     int
}
