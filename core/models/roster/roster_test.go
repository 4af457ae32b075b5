package roster_test

import (
	"testing"

	"medlarpond.dev/core/models/roster"
)

func TestSupersedes(t *testing.T) {
	known := roster.Target{Started: 100, ReportSequence: 7, Revision: 50}
	for name, c := range map[string]struct {
		next roster.Target
		want bool
	}{
		"next report of the same incarnation":      {roster.Target{Started: 100, ReportSequence: 8, Revision: 51}, true},
		"change without a report":                  {roster.Target{Started: 100, ReportSequence: 7, Revision: 51}, true},
		"same revision":                            {roster.Target{Started: 100, ReportSequence: 8, Revision: 50}, false},
		"older revision":                           {roster.Target{Started: 100, ReportSequence: 9, Revision: 49}, false},
		"late report of the same incarnation":      {roster.Target{Started: 100, ReportSequence: 6, Revision: 51}, false},
		"late report of an earlier incarnation":    {roster.Target{Started: 90, ReportSequence: 60, Revision: 51}, false},
		"first report of a later incarnation":      {roster.Target{Started: 110, ReportSequence: 0, Revision: 51}, true},
		"stale start event of a later incarnation": {roster.Target{Started: 110, ReportSequence: 0, Revision: 40}, false},
	} {
		if got := c.next.Supersedes(known); got != c.want {
			t.Errorf("%s: Supersedes = %v, want %v", name, got, c.want)
		}
	}
}
