package oper

import (
	"encoding/json"
	"slices"
	"sort"

	"github.com/samber/lo"

	"geraniumpass/config"
)

// Diff returns one line per difference between two documents, ignoring their records.
func Diff(a, b *config.Document) []string {
	var out []string
	out = append(out, differences("class", classTexts(a.Classes), classTexts(b.Classes))...)
	out = append(out, differences("account", accountTexts(a.Accounts), accountTexts(b.Accounts))...)
	out = append(out, differences("group", groupTexts(a.Groups), groupTexts(b.Groups))...)
	for _, id := range b.Drained {
		if !slices.Contains(a.Drained, id) {
			out = append(out, "+ drained "+id)
		}
	}
	for _, id := range a.Drained {
		if !slices.Contains(b.Drained, id) {
			out = append(out, "- drained "+id)
		}
	}
	return out
}

func differences(kind string, a, b map[string]string) []string {
	names := lo.Union(lo.Keys(a), lo.Keys(b))
	sort.Strings(names)
	var out []string
	for _, n := range names {
		if a[n] == b[n] {
			continue
		}
		if a[n] != "" {
			out = append(out, "- "+kind+" "+a[n])
		}
		if b[n] != "" {
			out = append(out, "+ "+kind+" "+b[n])
		}
	}
	return out
}

func encodeJSON(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return ""
	}
	return string(b)
}

func classTexts(list []config.Class) map[string]string {
	return lo.SliceToMap(list, func(v config.Class) (string, string) { return v.Name, encodeJSON(v) })
}

func accountTexts(list []config.Account) map[string]string {
	return lo.SliceToMap(list, func(v config.Account) (string, string) { return v.Name, encodeJSON(v) })
}

func groupTexts(list []config.Group) map[string]string {
	return lo.SliceToMap(list, func(v config.Group) (string, string) { return v.Name, encodeJSON(v) })
}
