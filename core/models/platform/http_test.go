package platform_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"medlarpond.dev/core/contract"
	"medlarpond.dev/core/models/platform"
	standin "medlarpond.dev/core/standin/platform"
	"medlarpond.dev/core/standin/relay"
)

// TestStoreContract runs the contract tests of the store against the HTTP client, with the stand-in platform behind a TCP
// proxy that injects faults.
func TestStoreContract(t *testing.T) {
	contract.RunStoreTests(t, func(t *testing.T) (platform.Store, contract.StoreFaults) {
		t.Helper()
		p := standin.New()
		server := httptest.NewServer(p)
		r, err := relay.New(server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			r.Close()
			server.CloseClientConnections()
			server.Close()
		})
		store, _ := platform.NewHTTP("http://"+r.Address(), time.Second)
		return store, contract.StoreFaults{
			Down:          func(on bool) { p.SetFaults(standin.Faults{Down: on}) },
			LoseResponses: func(on bool) { p.SetFaults(standin.Faults{LoseWriteResponse: on}) },
			LoseWrites:    func(on bool) { p.SetFaults(standin.Faults{LoseWrite: on}) },
			Unresponsive:  func(on bool) { p.SetFaults(standin.Faults{Unresponsive: on}) },
			Unreachable:   r.ResetConnections,
			Freeze:        r.Blackhole,
		}
	})
}
