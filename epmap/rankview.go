package epmap

import "geraniumpass/proto"

// RankView is a leader's view of one rank.
type RankView struct {
	Incarnation uint64
	Answered    bool
	OK          bool
	State       proto.RankState
}
