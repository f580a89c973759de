package plan

// Share is the weight of one service in a route's traffic split.
type Share struct {
	Service string
	Weight  int
}
