package peer

import (
	"sync"

	"github.com/samber/lo"

	"geraniumpass/plan"
	"geraniumpass/proto"
)

// encoded caches the encodings of the newest value, which many peers ask for at the same time.
type encoded struct {
	mu sync.Mutex
	// owner is a pointer to the immutable value that was encoded, or to what holds it. A revision
	// doesn't identify a list, because lapsed instances are dropped without a new one.
	owner  any
	plain  []byte
	packed []byte
}

// encode returns the encoded value, packed if wanted. Encoding our own plain structs can't fail.
func (e *encoded) encode(owner, value any, pack bool) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.owner != owner {
		e.owner, e.plain, e.packed = owner, nil, nil
	}
	switch {
	case !pack && e.plain == nil:
		e.plain = lo.Must(proto.Marshal(value))
	case pack && e.packed == nil:
		e.packed = lo.Must(proto.Pack(value))
	}
	return lo.Ternary(pack, e.packed, e.plain)
}

// addTable adds the table to an update if it is newer than the peer's, unless the peer expects it
// from elsewhere.
func (s *Server) addTable(n *proto.Update, t *plan.Table, ask *proto.UpdateRequest) {
	if t == nil {
		return
	}
	n.TableVersion = t.Version
	n.Packed = ask.AcceptsDelta
	if t.Version > ask.Table && !ask.OmitTable {
		n.Table = s.table.encode(t, t, ask.AcceptsDelta)
	}
}
