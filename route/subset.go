package route

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"geraniumpass/core"
)

// Seed returns the RendezvousWeight key for a name.
func Seed(name string) uint64 {
	return xxhash.Sum64String(name)
}

// Subset returns the instances that an entry connects to when the fleet has more than limit
// instances: a proportional share of each service, own failure domain first. Few members change
// when the list changes.
func Subset(entry, domain string, list []core.Instance, limit int) []core.Instance {
	if len(list) <= limit {
		return list
	}
	services := make(map[string][]core.Instance)
	for _, in := range list {
		services[in.Service] = append(services[in.Service], in)
	}
	seed := Seed(entry)
	var out []core.Instance
	for _, rows := range services {
		share := max(1, limit*len(rows)/len(list))
		sort.Slice(rows, func(i, j int) bool {
			hi, hj := rows[i].Domain == domain, rows[j].Domain == domain
			if hi != hj {
				return hi
			}
			return RendezvousWeight(rows[i].ID, seed) > RendezvousWeight(rows[j].ID, seed)
		})
		out = append(out, rows[:min(share, len(rows))]...)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
