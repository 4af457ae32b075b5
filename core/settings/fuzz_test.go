package settings_test

import (
	"errors"
	"os"
	"testing"

	"medlarpond.dev/core/settings"
)

// FuzzParse checks that any content is either accepted or rejected with at least one error, each with a file, a line and
// a fix.
func FuzzParse(f *testing.F) {
	example, err := os.ReadFile("../../examples/entry.yaml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(example)
	f.Add([]byte("instance: {id: a}\nlisten: [1, 2]\n"))
	f.Add([]byte("peers: {seeds: [x]}\n---\nlog: *a\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		_, err := settings.Parse("x.yaml", content)
		if err == nil {
			return
		}
		var invalid *settings.ErrInvalids
		if !errors.As(err, &invalid) || len(invalid.Errors) == 0 {
			t.Fatalf("got %T %v, want *settings.ErrInvalids with at least one error", err, err)
		}
		for _, e := range invalid.Errors {
			if e.File != "x.yaml" || e.Line < 1 || e.Fix == "" {
				t.Errorf("got %+v, want file x.yaml, a line and a fix", e)
			}
		}
	})
}
