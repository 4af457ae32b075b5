package configuration_test

import (
	"bytes"
	"testing"

	"medlarpond.dev/core/services/configuration"
)

// FuzzRecord checks that a stored change is either rejected or can be applied, and keeps its encoding and hash.
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
			t.Errorf("record of %q: got raw %q, chain %q; want raw unchanged and a chain", raw, record.Raw, record.Chain)
		}
		state := configuration.NewState()
		if err := state.Apply(record); err == nil && record.Revision == 1 && state.View().Chain != record.Chain {
			t.Errorf("got active chain %q, want %q", state.View().Chain, record.Chain)
		}
	})
}
