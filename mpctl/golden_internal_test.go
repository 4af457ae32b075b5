package main

import (
	"bytes"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/sebdah/goldie/v2"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/services/configuration"
)

// TestGolden compares printed tables with golden files; `go test -update` rewrites them.
func TestGolden(t *testing.T) {
	team := resource.Resource{Kind: resource.KindTeam, Name: "lawns", Version: 7, Spec: resource.Team{Rate: 100, Burst: 20, Weight: 1}}
	region := resource.Resource{Kind: resource.KindRegion, Name: "kolkata", Version: 1, Spec: resource.Region{Capacity: 20}}
	at := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	tests := []struct {
		name  string
		print func(w *tabwriter.Writer)
	}{
		{"resources", func(w *tabwriter.Writer) { resourceTable(w, []resource.Resource{region, team}) }},
		{"changes", func(w *tabwriter.Writer) {
			changeRow(w, configuration.Change{Revision: 7, Time: at, Actor: "me", Action: configuration.ActionUpdate, Resource: &team, Reason: "spring season"})
			changeRow(w, configuration.Change{Revision: 6, Time: at, Actor: "script", Action: configuration.ActionVoid, Reason: "outcome unknown"})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out bytes.Buffer
			w := tabwriter.NewWriter(&out, 0, 0, columnPadding, ' ', 0)
			test.print(w)
			if err := w.Flush(); err != nil {
				t.Fatal(err)
			}
			goldie.New(t).Assert(t, test.name, out.Bytes())
		})
	}
}
