package agent

import (
	"geraniumpass/proto"
	"geraniumpass/wire"
)

type rank struct{}

func newRank(*Agent) *rank { return &rank{} }

func (*rank) order(*wire.Link, *proto.Order) {}
