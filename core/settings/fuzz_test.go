package settings_test

import (
	"errors"
	"os"
	"testing"

	"medlarpond.dev/core/settings"
)

// FuzzParse checks that any file is either accepted or refused with at least one fault that names its line.
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
		if !errors.As(err, &invalid) || len(invalid.Faults) == 0 {
			t.Fatalf("got %T %v", err, err)
		}
		for _, fault := range invalid.Faults {
			if fault.File != "x.yaml" || fault.Line < 1 || fault.Fix == "" {
				t.Errorf("got fault %+v", fault)
			}
		}
	})
}
