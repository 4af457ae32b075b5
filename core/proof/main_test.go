package proof_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the default seed and number of checks; flags on the command line take precedence.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "60")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
