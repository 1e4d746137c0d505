package table

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of property tests, so that all runs give the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
