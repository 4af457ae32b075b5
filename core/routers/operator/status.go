package operator

import (
	"net/http"

	"medlarpond.dev/core/services/configuration"
	"medlarpond.dev/core/services/membership"
)

// Status describes an instance and the fleet as the instance sees it.
type Status struct {
	Self     membership.Member
	Members  []membership.Member
	Revision uint64
	Chain    configuration.Chain
	// Confirmed is false while keyed routes are refused for lack of contact.
	Confirmed bool
	// StoreReachable is false while the store does not answer.
	StoreReachable bool
	// StoreDiverged is true while the store holds another history than the one in force.
	StoreDiverged bool
}

type wireMember struct {
	ID            string `json:"id"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure-domain"`
	State         string `json:"state"`
	Revision      uint64 `json:"revision"`
}

type wireStatus struct {
	Self           wireMember   `json:"self"`
	Members        []wireMember `json:"members"`
	Revision       uint64       `json:"revision"`
	Chain          string       `json:"chain"`
	InForce        int          `json:"in-force"`
	Confirmed      bool         `json:"confirmed"`
	StoreReachable bool         `json:"store-reachable"`
	StoreDiverged  bool         `json:"store-diverged"`
}

func wireMemberOf(m membership.Member) wireMember {
	return wireMember{ID: m.ID, Region: m.Region, FailureDomain: m.FailureDomain, State: string(m.State), Revision: m.Revision}
}

func (t *Router) showStatus(w http.ResponseWriter, _ *http.Request) {
	s := t.status()
	answer := wireStatus{
		Self: wireMemberOf(s.Self), Members: []wireMember{}, Revision: s.Revision, Chain: string(s.Chain),
		Confirmed: s.Confirmed, StoreReachable: s.StoreReachable, StoreDiverged: s.StoreDiverged,
	}
	for _, m := range s.Members {
		answer.Members = append(answer.Members, wireMemberOf(m))
		if m.Revision >= s.Revision {
			answer.InForce++
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

// ready answers 200 only in state ready; the body tells leaving from starting.
func (t *Router) ready(w http.ResponseWriter, _ *http.Request) {
	state := t.status().Self.State
	status := http.StatusServiceUnavailable
	if state == membership.StateReady {
		status = http.StatusOK
	}
	writeJSON(w, status, wireHealth{State: string(state)})
}
