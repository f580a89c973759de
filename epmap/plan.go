package epmap

// Plan is a switch to a map from a step on; Version is unique to the switch, so that a late order of another one does nothing.
type Plan struct {
	Version uint64
	Step    uint64
	Map     []byte
}
