package peer

import (
	"sync"

	"github.com/samber/lo"

	"geraniumpass/plan"
	"geraniumpass/proto"
)

// encodedTable caches the encoding of the newest table, which many peers ask for at the same time.
type encodedTable struct {
	mu      sync.Mutex
	version int64
	bytes   []byte
}

// encode returns the encoded table. Encoding our own plain structs can't fail.
func (e *encodedTable) encode(t *plan.Table) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.bytes == nil || e.version != t.Version {
		e.version, e.bytes = t.Version, lo.Must(proto.Marshal(t))
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
		n.Table = s.table.encode(t)
	}
}
