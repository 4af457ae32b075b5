package configuration_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"medlarpond.dev/core/models/platform"
	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/services/configuration"
	standin "medlarpond.dev/core/standin/platform"
)

func createRegion(name string) configuration.ChangeRequest {
	return configuration.ChangeRequest{
		Actor: "a", Reason: "r", Action: configuration.ActionCreate,
		Resource: resource.Resource{Kind: resource.KindRegion, Name: name, Spec: resource.Region{Capacity: 1}},
	}
}

// TestWriteResultWithFaults checks that Write reports the true outcome when the store loses writes or responses or is
// down.
func TestWriteResultWithFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults standin.Faults
		// clearFaults ends the faults 50 ms after the write has begun.
		clearFaults bool
		// unknown and unavailable select the expected error; if neither is set, the write is applied.
		unknown, unavailable bool
	}{
		{name: "no fault"},
		{name: "response lost after the write", faults: standin.Faults{LoseWriteResponse: true}},
		{name: "write lost, faults cleared later", faults: standin.Faults{LoseWrite: true}, clearFaults: true},
		{name: "write lost until the timeout", faults: standin.Faults{LoseWrite: true}, unknown: true},
		{name: "store down", faults: standin.Faults{Down: true}, unavailable: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := standin.New()
			server := httptest.NewServer(p)
			defer server.Close()
			store, _ := platform.NewHTTP(server.URL, time.Second)
			state := configuration.NewState()
			p.SetFaults(test.faults)
			if test.clearFaults {
				time.AfterFunc(50*time.Millisecond, func() { p.SetFaults(standin.Faults{}) })
			}
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			record, err := configuration.NewWriter(store, state).Write(ctx, createRegion("r1"))
			var unknown *configuration.ErrOutcomeUnknown
			var unavailable *configuration.ErrStoreUnavailable
			if errors.As(err, &unknown) != test.unknown || errors.As(err, &unavailable) != test.unavailable {
				t.Fatalf("Write: got error %v, want the one that the test case selects", err)
			}
			if err != nil {
				return
			}
			if _, ok := state.View().Snapshot.Get(resource.KindRegion, "r1"); !ok {
				t.Errorf("change %d was reported as applied but is not active", record.Revision)
			}
		})
	}
}

// TestWriteConflict checks that of two writers with the same view of the configuration one gets a conflict that names the
// winner.
func TestWriteConflict(t *testing.T) {
	server := httptest.NewServer(standin.New())
	defer server.Close()
	store, _ := platform.NewHTTP(server.URL, time.Second)
	first := configuration.NewWriter(store, configuration.NewState())
	second := configuration.NewWriter(store, configuration.NewState())
	if _, err := first.Write(context.Background(), createRegion("r1")); err != nil {
		t.Fatal(err)
	}
	_, err := second.Write(context.Background(), createRegion("r1"))
	var conflict *configuration.ErrVersionConflict
	if !errors.As(err, &conflict) || conflict.Actor != "a" {
		t.Fatalf("got %v, want a conflict that names the winner", err)
	}
}
