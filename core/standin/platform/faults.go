package platform

import (
	"encoding/json"
	"net/http"
	"time"
)

type faultsRequest struct {
	Down              bool   `json:"down"`
	Delay             string `json:"delay"`
	LoseWriteResponse bool   `json:"lose-write-answer"`
	LoseWrite         bool   `json:"lose-write"`
	Unresponsive      bool   `json:"silent"`
}

// FaultHandler returns a handler that sets the faults of a platform on PUT /faults. Faults missing in the body are disabled.
func FaultHandler(p *Platform) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		faults, err := readFaults(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.SetFaults(faults)
	})
	return mux
}

func readFaults(r *http.Request) (Faults, error) {
	var wire faultsRequest
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&wire); err != nil {
		return Faults{}, err
	}
	f := Faults{Down: wire.Down, LoseWriteResponse: wire.LoseWriteResponse, LoseWrite: wire.LoseWrite, Unresponsive: wire.Unresponsive}
	if wire.Delay == "" {
		return f, nil
	}
	var err error
	f.Delay, err = time.ParseDuration(wire.Delay)
	return f, err
}
