package proof_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of checks; flags on the command line go before it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "60")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
