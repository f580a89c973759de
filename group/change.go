package group

import (
	"encoding/binary"
	"slices"
)

// Kinds of edits in an encoded change. The index of an edit refers to the row in the base layout.
const (
	editReplace = iota
	editAdd
	editRemove
	editKinds
)

// encodeChange encodes the difference between base and next, which must have the same sets and
// ranks and list experts in ascending order. It takes about four bytes for each expert that a rank
// takes over. The leader sends every rank the complete change, since engines take whole maps.
func encodeChange(base, next [][][]int) []byte {
	var out []byte
	last := 0
	for s := range next {
		for r := range next[s] {
			row := s*len(next[s]) + r
			removed := difference(base[s][r], next[s][r])
			added := difference(next[s][r], base[s][r])
			for i := range max(len(removed), len(added)) {
				out = binary.AppendUvarint(out, uint64(row-last))
				last = row
				out = appendEdit(out, i, base[s][r], removed, added)
			}
		}
	}
	return out
}

// appendEdit encodes edit i of one row.
func appendEdit(out []byte, i int, row, removed, added []int) []byte {
	switch {
	case i >= len(added):
		pos := slices.Index(row, removed[i])
		return binary.AppendUvarint(out, uint64(pos*editKinds+editRemove))
	case i >= len(removed):
		out = binary.AppendUvarint(out, editAdd)
	default:
		pos := slices.Index(row, removed[i])
		out = binary.AppendUvarint(out, uint64(pos*editKinds+editReplace))
	}
	return binary.AppendUvarint(out, uint64(added[i]))
}

// difference returns the elements of a that are not in b.
func difference(a, b []int) []int {
	var out []int
	for _, x := range a {
		if !slices.Contains(b, x) {
			out = append(out, x)
		}
	}
	return out
}

// applyChange returns base with change applied, sharing the unchanged rows with base. ok is false
// if the change is truncated or refers to a row or index outside base.
func applyChange(base [][][]int, change []byte) (out [][][]int, ok bool) {
	out = make([][][]int, len(base))
	for s := range base {
		out[s] = slices.Clone(base[s])
	}
	row := 0
	for len(change) > 0 {
		var e edit
		if e, change, ok = decodeEdit(change); !ok {
			return nil, false
		}
		row += e.rowDelta
		set, rank, inside := rowAt(base, row)
		if !inside || !e.apply(base[set][rank], &out[set][rank]) {
			return nil, false
		}
	}
	return out, true
}

// rowAt returns the set and rank of a row; rows are numbered set after set.
func rowAt(layout [][][]int, row int) (set, rank int, inside bool) {
	for s := range layout {
		if row < len(layout[s]) {
			return s, row, row >= 0
		}
		row -= len(layout[s])
	}
	return 0, 0, false
}

// edit is one decoded edit of a change; rowDelta is the distance in rows from the previous edit.
type edit struct {
	rowDelta int
	kind     int
	index    int
	expert   int
}

// maxEditNumber bounds the numbers in a change; maps have far fewer rows and experts.
const maxEditNumber = 1 << 24

// decodeEdit decodes the first edit of a change and returns the remaining bytes.
func decodeEdit(change []byte) (e edit, rest []byte, ok bool) {
	var numbers [3]int
	for i := range numbers {
		if i == 2 && numbers[1]%editKinds == editRemove {
			break
		}
		v, n := binary.Uvarint(change)
		if n <= 0 || v > maxEditNumber {
			return e, nil, false
		}
		numbers[i], change = int(v), change[n:]
	}
	e = edit{
		rowDelta: numbers[0],
		kind:     numbers[1] % editKinds,
		index:    numbers[1] / editKinds,
		expert:   numbers[2],
	}
	return e, change, true
}

// apply applies the edit to row and reports whether its index is valid; the index refers to before.
func (e edit) apply(before []int, row *[]int) bool {
	out := slices.Clone(*row)
	if e.kind != editAdd {
		if e.index >= len(before) {
			return false
		}
		at := slices.Index(out, before[e.index])
		if at < 0 {
			return false
		}
		out = slices.Delete(out, at, at+1)
	}
	if e.kind != editRemove {
		out = append(out, e.expert)
		slices.Sort(out)
	}
	*row = out
	return true
}
