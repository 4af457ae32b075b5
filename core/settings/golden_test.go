package settings_test

import (
	"testing"

	"github.com/sebdah/goldie/v2"

	"medlarpond.dev/core/settings"
)

// TestGolden checks the error messages for an invalid settings file; `go test -update` rewrites the golden files.
func TestGolden(t *testing.T) {
	tests := []struct{ name, content string }{
		{"empty", "instance: {}\n"},
		{"many-faults", "instance:\n  id: Entry_1\n  region: r1\n  failure-domain: r1-a\nlisten:\n  caller: localhost:1\n  operator: 127.0.0.1:2\n  peer: 127.0.0.1:2\nplatform:\n  url: ftp://x\nlog:\n  level: loud\n"},
		{"unknown-setting", "instance:\n  id: a\n  regoin: r1\n"},
		{"wrong-type", "requests:\n  max-header-bytes: many\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := settings.Parse("entry.yaml", []byte(test.content))
			if err == nil {
				t.Fatal("Parse accepted the file, want an error")
			}
			goldie.New(t).Assert(t, test.name, []byte(err.Error()+"\n"))
		})
	}
}
