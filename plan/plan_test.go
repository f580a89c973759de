package plan

import "testing"

func TestMatchLongestPrefix(t *testing.T) {
	table := (&Table{
		Routes: []Route{
			{Name: "short", Host: "a.example", Prefix: "/x/"},
			{Name: "long", Host: "a.example", Prefix: "/x/y/"},
			{Name: "other", Host: "b.example", Prefix: "/"},
		},
		Accounts: []Account{{Name: "acme", Keys: []string{"k1"}}},
	}).Compile()
	tests := []struct {
		host string
		path string
		want string
	}{
		{"a.example", "/x/y/z", "long"},
		{"A.example:80", "/x/z", "short"},
		{"a.example", "/xy", ""},
		{"b.example", "/anything", "other"},
		{"c.example", "/x/", ""},
	}
	for _, tt := range tests {
		got := ""
		if r := table.Match(tt.host, tt.path); r != nil {
			got = r.Name
		}
		if got != tt.want {
			t.Errorf("%s%s matches route %q, want %q", tt.host, tt.path, got, tt.want)
		}
	}
	if table.Account("k1") == nil || table.Account("k2") != nil {
		t.Error("account lookup by key is wrong")
	}
}

func TestRepeatable(t *testing.T) {
	tests := []struct {
		route Route
		want  bool
	}{
		{Route{Kind: KindOnce}, false},
		{Route{Kind: KindIdempotent}, true},
		{Route{Kind: KindStream}, false},
		{Route{Kind: KindStream, Resume: true}, true},
	}
	for _, tt := range tests {
		if tt.route.Repeatable() != tt.want {
			t.Errorf("%v with resume %v: want %v", tt.route.Kind, tt.route.Resume, tt.want)
		}
	}
}
