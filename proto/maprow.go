package proto

// MapRow lists the experts that one rank holds of one set under a map.
type MapRow struct {
	_       struct{} `cbor:",toarray"`
	Set     int
	Rank    int
	Experts []int
}
