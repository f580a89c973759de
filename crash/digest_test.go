package crash

import "testing"

func TestDigestEquality(t *testing.T) {
	h := NewHasher([]byte("a key of all entries"))
	first := Request{
		Method:  "POST",
		Host:    "h.example",
		URI:     "/flow/x?a=1",
		Account: "acme",
		Body:    []byte("prompt"),
	}
	tests := []struct {
		name   string
		change func(r *Request)
		same   bool
	}{
		{"nothing", func(*Request) {}, true},
		{"case of the host", func(r *Request) { r.Host = "H.Example" }, true},
		{"method", func(r *Request) { r.Method = "PUT" }, false},
		{"host", func(r *Request) { r.Host = "i.example" }, false},
		{"path", func(r *Request) { r.URI = "/flow/y?a=1" }, false},
		{"query", func(r *Request) { r.URI = "/flow/x?a=2" }, false},
		{"account", func(r *Request) { r.Account = "other" }, false},
		{"body", func(r *Request) { r.Body = []byte("prompt ") }, false},
		{"parts that run together", func(r *Request) { r.URI, r.Account = "/flow/x?a=1a", "cme" }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := first
			tt.change(&r)
			if same := h.Digest(r) == h.Digest(first); same != tt.same {
				t.Errorf("digests equal: %v, want %v", same, tt.same)
			}
		})
	}
	if NewHasher([]byte("another key")).Digest(first) == h.Digest(first) {
		t.Error("digest does not depend on the key")
	}
}

func TestDigestRoundTrip(t *testing.T) {
	d := NewHasher(nil).Digest(Request{URI: "/x"})
	text, err := d.MarshalText()
	if err != nil {
		t.Fatal(err)
	}
	var back Digest
	if err := back.UnmarshalText(text); err != nil || back != d {
		t.Errorf("%s parsed as %s, %v", text, back, err)
	}
	for _, bad := range []string{"", "12", "zz" + string(text[2:]), string(text) + "00"} {
		if err := back.UnmarshalText([]byte(bad)); err == nil {
			t.Errorf("%q parsed without an error", bad)
		}
	}
}
