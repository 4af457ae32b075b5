package forward

import (
	"net/http"
	"strings"
	"testing"

	"medlarpond.dev/core/services/placement"
	"medlarpond.dev/core/services/target"
)

// TestParseHints checks what the headers of a target's response mean, malformed and repeated ones among them.
func TestParseHints(t *testing.T) {
	f := &Forwarder{Config: Config{Headers: Headers{Seal: "Seal", Limit: "Limit", Leaving: "Leaving"}}}
	named := func(rate float64) placement.Hints {
		return placement.Hints{Limit: placement.LimitNamed, LimitRate: rate}
	}
	none := placement.Hints{Limit: placement.LimitNone}
	for name, c := range map[string]struct {
		header http.Header
		want   placement.Hints
	}{
		"sealed, without a limit":   {http.Header{"Seal": {"s"}}, none},
		"unsealed, without a limit": {http.Header{}, placement.Hints{}},
		"a limit":                   {http.Header{"Seal": {"s"}, "Limit": {"1.9"}}, named(1.9)},
		"a limit of a refusal":      {http.Header{"Limit": {"2"}}, named(2)},
		"zero":                      {http.Header{"Seal": {"s"}, "Limit": {"0"}}, named(0)},
		"spaces":                    {http.Header{"Seal": {"s"}, "Limit": {" 3 "}}, named(3)},
		"repeated":                  {http.Header{"Seal": {"s"}, "Limit": {"7", "2.5", "x"}}, named(2.5)},
		"huge":                      {http.Header{"Seal": {"s"}, "Limit": {"99999999999999999999"}}, named(1e20)},
		"out of range":              {http.Header{"Seal": {"s"}, "Limit": {strings.Repeat("9", 400)}}, placement.Hints{}},
		"negative":                  {http.Header{"Seal": {"s"}, "Limit": {"-1"}}, placement.Hints{}},
		"not a number":              {http.Header{"Seal": {"s"}, "Limit": {"NaN"}}, placement.Hints{}},
		"infinite":                  {http.Header{"Seal": {"s"}, "Limit": {"Inf"}}, placement.Hints{}},
		"hexadecimal":               {http.Header{"Seal": {"s"}, "Limit": {"0x1p4"}}, placement.Hints{}},
		"empty":                     {http.Header{"Seal": {"s"}, "Limit": {""}}, placement.Hints{}},
	} {
		if got := f.parseHints(&target.Response{Status: http.StatusOK, Header: c.header}); got != c.want {
			t.Errorf("%s: got %+v, want %+v", name, got, c.want)
		}
	}
}
