package group

import (
	"encoding/binary"
	"slices"
)

// The edits of a change, as they stand before the place that they name.
const (
	editReplace = iota
	editAdd
	editRemove
	edits
)

// changeBetween packs what next differs in from base, which has as many sets and ranks and lists experts in rising order, as next does. It
// takes some four bytes for each expert that a rank takes over: a leader tells every rank all of it, since engines take whole maps.
func changeBetween(base, next [][][]int) []byte {
	var out []byte
	last := 0
	for s := range next {
		for r := range next[s] {
			row := s*len(next[s]) + r
			removed := without(base[s][r], next[s][r])
			added := without(next[s][r], base[s][r])
			for i := range max(len(removed), len(added)) {
				out = binary.AppendUvarint(out, uint64(row-last))
				last = row
				out = appendEdit(out, i, base[s][r], removed, added)
			}
		}
	}
	return out
}

// appendEdit packs the edit with index i of one row.
func appendEdit(out []byte, i int, row, removed, added []int) []byte {
	switch {
	case i >= len(added):
		place := slices.Index(row, removed[i])
		return binary.AppendUvarint(out, uint64(place*edits+editRemove))
	case i >= len(removed):
		out = binary.AppendUvarint(out, editAdd)
	default:
		place := slices.Index(row, removed[i])
		out = binary.AppendUvarint(out, uint64(place*edits+editReplace))
	}
	return binary.AppendUvarint(out, uint64(added[i]))
}

// without returns what a has and b hasn't.
func without(a, b []int) []int {
	var out []int
	for _, x := range a {
		if !slices.Contains(b, x) {
			out = append(out, x)
		}
	}
	return out
}

// withChange returns base as a change says; it shares the rows that stay. ok is false when the change names a place outside of it or is cut.
func withChange(base [][][]int, change []byte) (out [][][]int, ok bool) {
	out = make([][][]int, len(base))
	for s := range base {
		out[s] = slices.Clone(base[s])
	}
	row := 0
	for len(change) > 0 {
		var e edit
		if e, change, ok = nextEdit(change); !ok {
			return nil, false
		}
		row += e.rows
		set, rank, inside := rowAt(base, row)
		if !inside || !e.apply(base[set][rank], &out[set][rank]) {
			return nil, false
		}
	}
	return out, true
}

// rowAt returns the set and the rank of a row, counted set after set.
func rowAt(layout [][][]int, row int) (set, rank int, inside bool) {
	for s := range layout {
		if row < len(layout[s]) {
			return s, row, row >= 0
		}
		row -= len(layout[s])
	}
	return 0, 0, false
}

// edit is one edit of a change: rows says how many rows after the edit before it.
type edit struct {
	rows   int
	kind   int
	place  int
	expert int
}

// largest bounds the numbers of a change: maps have far fewer rows and experts.
const largest = 1 << 24

// nextEdit takes an edit off the front of a change.
func nextEdit(change []byte) (e edit, rest []byte, ok bool) {
	var numbers [3]int
	for i := range numbers {
		if i == 2 && numbers[1]%edits == editRemove {
			break
		}
		v, n := binary.Uvarint(change)
		if n <= 0 || v > largest {
			return e, nil, false
		}
		numbers[i], change = int(v), change[n:]
	}
	e = edit{
		rows:   numbers[0],
		kind:   numbers[1] % edits,
		place:  numbers[1] / edits,
		expert: numbers[2],
	}
	return e, change, true
}

// apply makes the edit in row, whose places are those of before.
func (e edit) apply(before []int, row *[]int) bool {
	out := slices.Clone(*row)
	if e.kind != editAdd {
		if e.place >= len(before) {
			return false
		}
		at := slices.Index(out, before[e.place])
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
