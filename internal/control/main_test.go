package control_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, unless the command line sets another,
// so that the results are reproducible.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}
