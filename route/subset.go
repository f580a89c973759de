package route

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"geraniumpass/core"
)

// Subset returns the instances that an entry links to when the fleet has more than limit: of each service its fair part, own domain first, stable as the list changes.
func Subset(entry, domain string, list []core.Instance, limit int) []core.Instance {
	if len(list) <= limit {
		return list
	}
	services := make(map[string][]core.Instance)
	for _, in := range list {
		services[in.Service] = append(services[in.Service], in)
	}
	seed := xxhash.Sum64String(entry)
	var out []core.Instance
	for _, rows := range services {
		share := max(1, limit*len(rows)/len(list))
		sort.Slice(rows, func(i, j int) bool {
			hi, hj := rows[i].Domain == domain, rows[j].Domain == domain
			if hi != hj {
				return hi
			}
			return rendezvous(rows[i].ID, seed) > rendezvous(rows[j].ID, seed)
		})
		out = append(out, rows[:min(share, len(rows))]...)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
