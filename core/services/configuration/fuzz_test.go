package configuration_test

import (
	"bytes"
	"testing"

	"medlarpond.dev/core/services/configuration"
)

// FuzzRecord checks that a stored change is refused or can be put in force, and keeps its encoding and chain.
func FuzzRecord(f *testing.F) {
	for _, seed := range []string{
		`{"id":"a","revision":1,"action":"void","actor":"a","reason":"r","time":"2026-01-01T00:00:00Z"}`,
		`{"id":"a","revision":1,"action":"create","resource":{"kind":"region","name":"r1","spec":{"capacity":1}}}`,
		`{"id":"a","revision":1,"action":"delete"}`,
		`{"id":"a","revision":1,"action":"create"}`,
		`{"id":"a","revision":1,"action":"update","resource":null}`,
		`null`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		record, err := configuration.DecodeRecord(raw)
		if err != nil {
			return
		}
		if !bytes.Equal(record.Raw, raw) || record.Chain == "" {
			t.Errorf("the record of %q holds %q, chain %q", raw, record.Raw, record.Chain)
		}
		state := configuration.NewState()
		if err := state.Apply(record); err == nil && record.Revision == 1 && state.View().Chain != record.Chain {
			t.Errorf("chain %q is in force, want %q", state.View().Chain, record.Chain)
		}
	})
}
