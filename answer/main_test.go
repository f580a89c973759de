package answer

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the randomised tests unless one is given, so that every run says the same.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261202")
	}
	os.Exit(m.Run())
}
