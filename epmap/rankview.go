package epmap

import "geraniumpass/proto"

// RankView is what a leader knows of one rank.
type RankView struct {
	Incarnation uint64
	Answered    bool
	OK          bool
	State       proto.RankState
}
