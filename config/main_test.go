package config

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the randomized tests unless one is given, so that runs are
// reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261202")
	}
	os.Exit(m.Run())
}
