package group

import (
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/proto"
)

// TestCountsArePackedForLargeGroups guards against counts that fill the leader's link when all
// ranks of a group send them at once after a shift of popularity: small groups send exact counts,
// and no group takes more than 100 KB, 0.13 s at 6 Mbit/s.
func TestCountsArePackedForLargeGroups(t *testing.T) {
	const most = 100_000
	tests := []struct {
		name   string
		ranks  int
		counts int
		exact  bool
	}{
		{"12 ranks, 3 sets of 96 experts", 12, 288, true},
		{"24 ranks, 16 sets of 96 experts", 24, 1536, true},
		{"72 ranks, 12 sets of 144 experts", 72, 1728, false},
		{"64 ranks, 12 sets of 256 experts", 64, 3072, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := NewAgent(&stubEngine{}, clockwork.NewFakeClock(), hclog.NewNullLogger())
			a.tally.Add(make([]int64, tt.counts))
			counts := make([]int64, tt.counts)
			for i := range counts {
				counts[i] = int64(i % 200)
			}
			a.tally.Add(counts)
			f := &proto.GroupRank{Rank: 3, Size: tt.ranks}
			a.packCounts(f)
			if together := tt.ranks * len(f.ExpertCounts); together > most {
				t.Errorf("all ranks together send %d bytes", together)
			}
			got := unpackCounts(f)
			if len(got) != tt.counts {
				t.Fatalf("%d counts, want %d", len(got), tt.counts)
			}
			for i := range got {
				off := float64(got[i])*f.CountUnit - float64(counts[i])
				if tt.exact && off != 0 || off > f.CountUnit || off < -f.CountUnit {
					t.Fatalf("count %d is %d in units of %v, want %d", i, got[i], f.CountUnit, counts[i])
				}
			}
		})
	}
}
