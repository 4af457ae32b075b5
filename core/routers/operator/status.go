package operator

import (
	"net/http"
	"slices"

	"medlarpond.dev/core/services/configuration"
	"medlarpond.dev/core/services/membership"
)

// Status describes an instance and the fleet as the instance sees it.
type Status struct {
	Self     membership.Member
	Members  []membership.Member
	Revision uint64
	Chain    configuration.ChainHash
	// Confirmed is false while keyed routes are refused for lack of contact.
	Confirmed bool
	// InContact is false while most seats do not answer; writes are refused then.
	InContact bool
	// Store is how the store relates to what is in force.
	Store configuration.StoreStatus
	// PeersDiverged is true while another instance has other changes than this one.
	PeersDiverged bool
	// Epoch is the fleet's epoch, with its seats, and OpenEpochs the number of earlier ones that are not over.
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
	Self           wireMember   `json:"self"`
	Members        []wireMember `json:"members"`
	Revision       uint64       `json:"revision"`
	Chain          string       `json:"chain"`
	InForce        int          `json:"in-force"`
	NotInForce     []string     `json:"not-in-force"`
	Confirmed      bool         `json:"confirmed"`
	InContact      bool         `json:"in-contact"`
	Store          string       `json:"store"`
	StoreReachable bool         `json:"store-reachable"`
	StoreDiverged  bool         `json:"store-diverged"`
	PeersDiverged  bool         `json:"peers-diverged"`
	Epoch          uint64       `json:"epoch"`
	OpenEpochs     int          `json:"open-epochs"`
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
	answer := wireStatus{
		Self: s.wireMemberOf(s.Self), Members: []wireMember{}, Revision: s.Revision, Chain: string(s.Chain),
		NotInForce: []string{}, Confirmed: s.Confirmed, InContact: s.InContact, Store: string(s.Store),
		StoreReachable: s.Store != configuration.StoreUnreachable,
		StoreDiverged:  s.Store == configuration.StoreBehind || s.Store == configuration.StoreDiverged,
		PeersDiverged:  s.PeersDiverged, Epoch: s.Epoch, OpenEpochs: s.OpenEpochs,
	}
	answer.Self.Confirmed = s.Confirmed
	for _, m := range s.Members {
		answer.Members = append(answer.Members, s.wireMemberOf(m))
		if m.Revision >= s.Revision {
			answer.InForce++
		} else {
			answer.NotInForce = append(answer.NotInForce, m.ID)
		}
	}
	writeJSON(w, http.StatusOK, answer)
}

type wireHealth struct {
	State string `json:"state"`
}

// health answers 200 while the process works at all.
func (t *Router) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, wireHealth{State: string(t.status().Self.State)})
}

// stateUnconfirmed is what the readiness check says of an instance that is ready but refuses keyed routes.
const stateUnconfirmed = "unconfirmed"

// ready answers 200 only in state ready and with contact; the body tells leaving from starting and from unconfirmed.
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
