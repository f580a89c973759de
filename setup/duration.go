package setup

import (
	"encoding/json"
	"time"
)

// Duration is a non-negative time.Duration that is encoded in JSON as a string such as "1.5s".
type Duration struct {
	time.Duration
}

// UnmarshalJSON parses the string form and fails with a *ValueError if it is invalid or negative.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return &ValueError{
			Got:  string(b),
			Want: `a duration in quotes such as "1.5s"`,
		}
	}
	v, err := time.ParseDuration(s)
	if err != nil || v < 0 {
		return &ValueError{
			Got:  s,
			Want: `a duration of zero or more such as "1.5s"`,
		}
	}
	d.Duration = v
	return nil
}

// MarshalJSON returns the string form.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(d.String())
}
