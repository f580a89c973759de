package plan

// Kind is a route's type of request: whether it may be repeated and how it is answered.
type Kind uint8

// The kinds of a route.
const (
	// KindOnce requests may run at most once per client attempt.
	KindOnce Kind = iota
	// KindIdempotent requests may run any number of times.
	KindIdempotent
	// KindStream requests are answered by a stream of numbered events.
	KindStream
)

// String returns the kind as shown in logs.
func (k Kind) String() string {
	switch k {
	case KindIdempotent:
		return "idempotent"
	case KindStream:
		return "stream"
	}
	return "once"
}
