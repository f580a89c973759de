package epmap

import "geraniumpass/proto"

// RankView is the state of one rank as last reported to a leader.
type RankView struct {
	Incarnation uint64
	Answered    bool
	OK          bool
	State       proto.RankState
}
