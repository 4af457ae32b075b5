package platform

import (
	"encoding/json"
	"net/http"
	"time"
)

type wireFaults struct {
	Down            bool   `json:"down"`
	Delay           string `json:"delay"`
	LoseWriteAnswer bool   `json:"lose-write-answer"`
	LoseWrite       bool   `json:"lose-write"`
	Silent          bool   `json:"silent"`
}

// FaultHandler replaces the faults in force by PUT /faults; what the body leaves out is switched off.
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
	var wire wireFaults
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&wire); err != nil {
		return Faults{}, err
	}
	f := Faults{Down: wire.Down, LoseWriteAnswer: wire.LoseWriteAnswer, LoseWrite: wire.LoseWrite, Silent: wire.Silent}
	if wire.Delay == "" {
		return f, nil
	}
	var err error
	f.Delay, err = time.ParseDuration(wire.Delay)
	return f, err
}
