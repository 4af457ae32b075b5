package settings_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	"medlarpond.dev/core/settings"
)

func TestExampleIsValid(t *testing.T) {
	if _, err := settings.Load("../../examples/entry.yaml"); err != nil {
		t.Fatal(err)
	}
}

// TestErrorsNameLineAndFix checks that each invalid setting is reported with its file, line and fix.
func TestErrorsNameLineAndFix(t *testing.T) {
	example, err := os.ReadFile("../../examples/entry.yaml")
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name, old, replacement, want string
	}{
		{"unknown setting", "region: kolkata", "regoin: kolkata", `x.yaml:8: yaml: unknown field "regoin"`},
		{"missing value", "  id: entry-1\n", "", "x.yaml:7: instance.id: is missing"},
		{"host name", "127.0.0.1:7101", "localhost:7101", "listen.caller: is missing or impossible; write an IP number"},
		{"invalid duration", "confirm-timeout: 3s", "confirm-timeout: 9s", "membership.confirm-timeout: must be from 1s to 4s"},
		{"not a URL", "http://127.0.0.1:7500", "127.0.0.1", "platform.url: is missing or impossible"},
		{"not YAML", "instance:\n", "instance: [\n", "x.yaml:"},
		{"wrong type", "max-header-bytes: 65536", "max-header-bytes: many", "x.yaml:"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			content := strings.Replace(string(example), test.old, test.replacement, 1)
			_, err := settings.Parse("x.yaml", []byte(content))
			var invalid *settings.ErrInvalids
			if !errors.As(err, &invalid) || !strings.Contains(err.Error(), test.want) {
				t.Fatalf("got %v, want %q", err, test.want)
			}
		})
	}
}
