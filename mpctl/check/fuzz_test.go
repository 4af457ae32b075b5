package check_test

import (
	"os"
	"testing"

	"medlarpond.dev/mpctl/api"
	"medlarpond.dev/mpctl/check"
)

// FuzzRun checks that any file is either unreadable or checked, that each finding about it has a line of the file, and that a file that
// cannot be decoded for applying is never reported as clean.
func FuzzRun(f *testing.F) {
	for _, name := range []string{"in-force", "errors", "findings", "changes", "broken"} {
		content, err := os.ReadFile("../testdata/check-" + name + ".yaml")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	f.Add([]byte("{? [a] : b}"))
	f.Add([]byte("kind: team\n'a[b': 1\nspec: {'x.y[': .nan}\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		report, err := check.Run("x.yaml", content, nil)
		if err != nil {
			return
		}
		for _, d := range report.Documents {
			report.Effects(d)
		}
		for _, finding := range report.Findings {
			if finding.File != "x.yaml" || finding.Line < 1 {
				t.Errorf("got finding %+v, want a line of x.yaml", finding)
			}
		}
		if _, err := api.DecodeResources(content); err != nil && len(report.Findings) == 0 {
			t.Errorf("got no findings, want one as the file cannot be decoded: %v", err)
		}
	})
}
