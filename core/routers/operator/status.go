package operator

import (
	"net/http"
	"slices"

	"medlarpond.dev/core/services/configuration"
	"medlarpond.dev/core/services/membership"
)

// Status is the state of an instance and its view of the fleet.
type Status struct {
	Self     membership.Member
	Members  []membership.Member
	Revision uint64
	Chain    configuration.ChainHash
	// Confirmed is false while requests that require a key are refused because neither the store nor peers confirm that
	// this instance is up to date.
	Confirmed bool
	// ConfirmedByPeers is false while a majority of the seats does not confirm this instance; writes are refused then.
	ConfirmedByPeers bool
	// Store is the state of the store in relation to the applied changes.
	Store configuration.StoreStatus
	// PeersDiverged is true while another instance has a different history of changes.
	PeersDiverged bool
	// Epoch is the current epoch of the fleet, Seats its seats, and OpenEpochs the number of earlier epochs that have not
	// ended.
	Epoch      uint64
	Seats      []membership.Seat
	OpenEpochs int
}

type wireMember struct {
	ID            string `json:"id"`
	Incarnation   uint64 `json:"incarnation"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure-domain"`
	State         string `json:"state"`
	Revision      uint64 `json:"revision"`
	Confirmed     bool   `json:"confirmed"`
	Seat          bool   `json:"seat"`
}

type wireStatus struct {
	Self             wireMember   `json:"self"`
	Members          []wireMember `json:"members"`
	Revision         uint64       `json:"revision"`
	Chain            string       `json:"chain"`
	Applied          int          `json:"in-force"`
	NotApplied       []string     `json:"not-in-force"`
	Confirmed        bool         `json:"confirmed"`
	ConfirmedByPeers bool         `json:"in-contact"`
	Store            string       `json:"store"`
	StoreReachable   bool         `json:"store-reachable"`
	StoreDiverged    bool         `json:"store-diverged"`
	PeersDiverged    bool         `json:"peers-diverged"`
	Epoch            uint64       `json:"epoch"`
	OpenEpochs       int          `json:"open-epochs"`
}

func (s Status) wireMemberOf(m membership.Member) wireMember {
	return wireMember{
		ID: m.ID, Incarnation: m.Incarnation, Region: m.Region, FailureDomain: m.FailureDomain,
		State: string(m.State), Revision: m.Revision, Confirmed: m.Confirmed,
		Seat: slices.ContainsFunc(s.Seats, func(seat membership.Seat) bool { return seat.ProcessID() == m.ProcessID() }),
	}
}

func (t *Router) showStatus(w http.ResponseWriter, _ *http.Request) {
	s := t.status()
	response := wireStatus{
		Self: s.wireMemberOf(s.Self), Members: []wireMember{}, Revision: s.Revision, Chain: string(s.Chain),
		NotApplied: []string{}, Confirmed: s.Confirmed, ConfirmedByPeers: s.ConfirmedByPeers, Store: string(s.Store),
		StoreReachable: s.Store != configuration.StoreUnreachable,
		StoreDiverged:  s.Store == configuration.StoreBehind || s.Store == configuration.StoreDiverged,
		PeersDiverged:  s.PeersDiverged, Epoch: s.Epoch, OpenEpochs: s.OpenEpochs,
	}
	response.Self.Confirmed = s.Confirmed
	for _, m := range s.Members {
		response.Members = append(response.Members, s.wireMemberOf(m))
		if m.Revision >= s.Revision {
			response.Applied++
		} else {
			response.NotApplied = append(response.NotApplied, m.ID)
		}
	}
	writeJSON(w, http.StatusOK, response)
}

type wireHealth struct {
	State string `json:"state"`
}

// health responds with status 200 whenever the process can serve the request.
func (t *Router) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, wireHealth{State: string(t.status().Self.State)})
}

// stateUnconfirmed is the state that the readiness check reports for an instance that is ready but not confirmed, so
// that it refuses requests that require a key.
const stateUnconfirmed = "unconfirmed"

// ready responds with status 200 if the instance is in state ready and confirmed, otherwise with 503. The body contains
// the state: starting, ready, leaving or unconfirmed.
func (t *Router) ready(w http.ResponseWriter, _ *http.Request) {
	s := t.status()
	switch {
	case s.Self.State != membership.StateReady:
		writeJSON(w, http.StatusServiceUnavailable, wireHealth{State: string(s.Self.State)})
	case !s.Confirmed:
		writeJSON(w, http.StatusServiceUnavailable, wireHealth{State: stateUnconfirmed})
	default:
		writeJSON(w, http.StatusOK, wireHealth{State: string(s.Self.State)})
	}
}
