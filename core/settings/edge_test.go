package settings_test

import (
	"errors"
	"strings"
	"testing"

	"medlarpond.dev/core/settings"
)

const validEdge = `
instance: {id: i-1, region: east, failure-domain: east-1}
listen: {caller: 127.0.0.1:1, lookup: 127.0.0.1:2, ready: 127.0.0.1:3, metrics: 127.0.0.1:4}
failure-domains: {east-1: east}
store: {address: 127.0.0.1:5}
`

func TestParseEdge(t *testing.T) {
	e, err := settings.ParseEdge("valid", []byte(validEdge))
	if err != nil {
		t.Fatal(err)
	}
	if want := (settings.EdgeHedging{Quantile: 0.95}); e.Hedging != want {
		t.Errorf("got hedging %+v without a setting, want %+v", e.Hedging, want)
	}
	for want, replacement := range map[string][2]string{
		"instance.id":                {"id: i-1", "id: I 1"},
		"listen.ready":               {"ready: 127.0.0.1:3", "ready: somewhere"},
		"failure-domains":            {"{east-1: east}", "{west-1: west}"},
		"store.address":              {"address: 127.0.0.1:5", "address: ''"},
		"memory.limit-mb":            {"store:", "memory: {limit-mb: 0}\nstore:"},
		"bounds.revoke-within":       {"store:", "bounds: {revoke-within: 0s}\nstore:"},
		"stop.margin":                {"store:", "stop: {grace: 1s, margin: 2s}\nstore:"},
		"placement.candidates":       {"store:", "placement: {candidates: 0}\nstore:"},
		"placement.objects":          {"store:", "placement: {objects: -1}\nstore:"},
		"requests.max-tries":         {"store:", "requests: {max-tries: 0}\nstore:"},
		"rates.min-part":             {"store:", "rates: {min-part: -1}\nstore:"},
		"intake.memory-fraction":     {"store:", "intake: {memory-fraction: 0}\nstore:"},
		"intake.request-share":       {"store:", "intake: {lookup-share: 0.4, probe-share: 0.2}\nstore:"},
		"intake.evict-after":         {"store:", "intake: {evict-after: 1m}\nstore:"},
		"intake.max-fields":          {"store:", "intake: {max-fields: 0}\nstore:"},
		"hedging.ratio":              {"store:", "hedging: {ratio: 0.21}\nstore:"},
		"hedging.ratio: must be":     {"store:", "hedging: {ratio: -0.1}\nstore:"},
		"hedging.quantile":           {"store:", "hedging: {ratio: 0.1, quantile: 0}\nstore:"},
		"hedging.quantile: must be":  {"store:", "hedging: {quantile: 0.999}\nstore:"},
		"bounds.retry-ratio":         {"store:", "bounds: {retry-ratio: -1}\nstore:"},
		"unknown field \"no-such\"":  {"store:", "no-such: 1\nstore:"},
		"string into Go struct type": {"store:", "stop: 5\nstore:"},
	} {
		text := strings.Replace(validEdge, replacement[0], replacement[1], 1)
		_, err := settings.ParseEdge("edge.yaml", []byte(text))
		var invalid *settings.ErrInvalids
		if !errors.As(err, &invalid) {
			t.Errorf("%q in place of %q: got %v, want *settings.ErrInvalids", replacement[1], replacement[0], err)
			continue
		}
		if !strings.HasPrefix(err.Error(), "edge.yaml:") {
			t.Errorf("got error %q, want the file and the line first", err)
		}
		if !strings.Contains(err.Error(), want) && !strings.Contains(want, "string into") {
			t.Errorf("got error %q, want it to name %s", err, want)
		}
	}
}
