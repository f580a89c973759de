package entry

import (
	"context"

	"geraniumpass/proto"
)

type leaders struct{}

func newLeaders(*Entry) *leaders { return &leaders{} }

func (*leaders) run(context.Context) {}

func (*leaders) reply(string, *proto.OrderReply) {}

func (*leaders) status() []GroupStatus { return nil }
