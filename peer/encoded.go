package peer

import (
	"sync"

	"github.com/samber/lo"

	"geraniumpass/plan"
	"geraniumpass/proto"
)

// encoded caches the encoding of the newest version of a value, which many peers ask for at the same
// time.
type encoded struct {
	mu      sync.Mutex
	version int64
	bytes   []byte
}

// encode returns the encoded value. Encoding our own plain structs can't fail.
func (e *encoded) encode(version int64, value any) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.bytes == nil || e.version != version {
		e.version, e.bytes = version, lo.Must(proto.Marshal(value))
	}
	return e.bytes
}

// addTable adds the table to an update if it is newer than the peer's, unless the peer expects it
// from elsewhere.
func (s *Server) addTable(n *proto.Update, t *plan.Table, ask *proto.UpdateRequest) {
	if t == nil {
		return
	}
	n.TableVersion = t.Version
	if t.Version > ask.Table && !ask.OmitTable {
		n.Table = s.table.encode(t.Version, t)
	}
}
