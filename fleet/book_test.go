package fleet

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"geraniumpass/core"
)

func TestRemovedInstances(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name    string
		play    func(b *Book)
		at      time.Duration
		present bool
	}{
		{
			name:    "gone in calm times",
			play:    func(b *Book) { b.Remove("i", start) },
			present: false,
		},
		{
			name: "lapsed while the store is down",
			play: func(b *Book) {
				b.Lost()
				b.Remove("i", start)
			},
			at:      time.Minute,
			present: true,
		},
		{
			name: "missing right after the store's return",
			play: func(b *Book) {
				b.Lost()
				b.Back(start)
				b.Replace(nil, start)
			},
			at:      Return - time.Millisecond,
			present: true,
		},
		{
			name: "still missing two seconds after the store's return",
			play: func(b *Book) {
				b.Lost()
				b.Remove("i", start)
				b.Back(start)
			},
			at:      Return,
			present: false,
		},
		{
			name: "back in time",
			play: func(b *Book) {
				b.Lost()
				b.Remove("i", start)
				b.Back(start)
				b.Put(core.Instance{ID: "i"})
			},
			at:      Return,
			present: true,
		},
		{
			name: "dropped by a peer while the store is down here only",
			play: func(b *Book) {
				b.Lost()
				b.Adopt(nil, nil, start)
			},
			present: false,
		},
		{
			name: "lapsed here and dropped by a peer",
			play: func(b *Book) {
				b.Lost()
				b.Remove("i", start)
				b.Adopt(nil, nil, start)
			},
			present: false,
		},
		{
			name:    "lapsed at a peer",
			play:    func(b *Book) { b.Adopt([]core.Instance{{ID: "i"}}, []string{"i"}, start) },
			at:      Return - time.Millisecond,
			present: true,
		},
		{
			name:    "lapsed at a peer and not back in time",
			play:    func(b *Book) { b.Adopt([]core.Instance{{ID: "i"}}, []string{"i"}, start) },
			at:      Return,
			present: false,
		},
		{
			name: "known to leave before its entry lapsed",
			play: func(b *Book) {
				b.Put(core.Instance{ID: "i", Leaving: true})
				b.Lost()
				b.Remove("i", start)
			},
			present: false,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := NewBook()
			b.Put(core.Instance{ID: "i"})
			tt.play(b)
			b.Expire(start.Add(tt.at))
			if got := len(b.List()) == 1; got != tt.present {
				t.Errorf("present: %v, want %v", got, tt.present)
			}
		})
	}
}

// TestLapsedAtAPeerIsDroppedWhileDown has a process that can't reach the store itself learn from a peer, who can, that an entry has vanished:
// it waited for its own return to the store and sent work to an instance that had left.
func TestLapsedAtAPeerIsDroppedWhileDown(t *testing.T) {
	in := core.Instance{ID: "i-1", Service: "svc"}
	start := time.Unix(100, 0)
	tests := []struct {
		name string
		do   func(b *Book)
		at   time.Duration
		want int
	}{
		{"learned while down, within its time", func(b *Book) { b.Lost(); b.Adopt([]core.Instance{in}, []string{in.ID}, start) }, Return - time.Millisecond, 1},
		{"learned while down, its time over", func(b *Book) { b.Lost(); b.Adopt([]core.Instance{in}, []string{in.ID}, start); b.Lost() }, Return, 0},
		{"not made longer by the own return", func(b *Book) {
			b.Lost()
			b.Adopt([]core.Instance{in}, []string{in.ID}, start)
			b.Back(start.Add(Return / 2))
		}, Return, 0},
		{"lost once more meanwhile", func(b *Book) { b.Adopt([]core.Instance{in}, []string{in.ID}, start); b.Lost() }, Return, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := NewBook()
			b.Put(in)
			tt.do(b)
			b.Expire(start.Add(tt.at))
			if got := len(b.List()); got != tt.want {
				t.Errorf("%d instances are left, want %d", got, tt.want)
			}
		})
	}
}

// TestOnlyLaterStartsReplace has words of two starts of one instance come in any order and by any way.
func TestOnlyLaterStartsReplace(t *testing.T) {
	start := time.Unix(1000, 0)
	earlier := core.Instance{ID: "i", Address: "a", Born: 100}
	later := core.Instance{ID: "i", Address: "b", Born: 200}
	unknown := core.Instance{ID: "i", Address: "c"}
	tests := []struct {
		name string
		play func(b *Book)
		want []core.Instance
	}{
		{"a later one", func(b *Book) { b.Put(earlier); b.Put(later) }, []core.Instance{later}},
		{"an earlier one comes late", func(b *Book) { b.Put(later); b.Put(earlier) }, []core.Instance{later}},
		{"one that doesn't say", func(b *Book) { b.Put(later); b.Put(unknown) }, []core.Instance{later}},
		{"in a whole list", func(b *Book) { b.Put(later); b.Replace([]core.Instance{earlier}, start) }, []core.Instance{later}},
		{"in a peer's list", func(b *Book) { b.Put(later); b.Adopt([]core.Instance{earlier}, nil, start) }, []core.Instance{later}},
		{"after the entry has gone", func(b *Book) { b.Put(later); b.Remove("i", start); b.Put(earlier) }, nil},
		{"in a peer's list after that", func(b *Book) { b.Put(later); b.Remove("i", start); b.Adopt([]core.Instance{earlier}, nil, start) }, nil},
		{"a start that was leaving is replaced", func(b *Book) { e := earlier; e.Leaving = true; b.Put(e); b.Put(later) }, []core.Instance{later}},
		{"an entry that names no instance", func(b *Book) { b.Lost(); b.Put(later); b.Drop("i") }, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := NewBook()
			tt.play(b)
			if got := b.List(); !slices.Equal(got, tt.want) {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}

// TestStartsAreForgotten has more instances come and go than starts are kept.
func TestStartsAreForgotten(t *testing.T) {
	b := NewBook()
	b.Put(core.Instance{ID: "stays", Born: 5})
	for i := range 2 * bornKept {
		id := strconv.Itoa(i)
		b.Put(core.Instance{ID: id, Born: 5})
		b.Drop(id)
	}
	if n := len(b.born); n > bornKept+1 {
		t.Errorf("%d starts are kept, want at most %d", n, bornKept+1)
	}
	if b.Put(core.Instance{ID: "stays", Born: 4}) {
		t.Error("the start of a listed instance was forgotten")
	}
}
