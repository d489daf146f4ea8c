package slots

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed, so that every run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "5")
	_ = flag.Set("rapid.checks", "1200")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
