package epmap

// Plan is a switch to a new map at a given step. Version is unique per switch, so that late orders
// of another switch have no effect.
type Plan struct {
	Version uint64
	Step    uint64
	Map     []byte
}
