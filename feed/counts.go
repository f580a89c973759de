package feed

import "expvar"

// counts are the live subscriptions, the messages received, those that could not be decoded, and the
// agents from which nothing was received in time.
var counts = expvar.NewMap("group_load")

const (
	countLive        = "subscriptions"
	countMessages    = "messages"
	countBadMessages = "bad_messages"
	countSilent      = "silent_agents"
)
