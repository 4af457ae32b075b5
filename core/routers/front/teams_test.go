package front_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"medlarpond.dev/core/models/intent"
	"medlarpond.dev/core/modules/boottime"
)

// TestTeamsVanishAndComeBack activates intents with and without teams while requests run. Without teams, routes ask for no key;
// all requests used to get 401 then. With teams, a request without a key must never be served.
func TestTeamsVanishAndComeBack(t *testing.T) {
	s := newInstance(t, 2, func(w http.ResponseWriter, r *http.Request, n int) {
		time.Sleep(5 * time.Millisecond)
		respondSealed(w, r, n)
	})
	s.keepConfirmed(t)
	withoutTeams := func(c *intent.Content) { c.WithoutKeys, c.Teams, c.Keys = true, nil, nil }
	version := uint64(1)
	for round := range 6 {
		version++
		withTeams := round%2 == 1
		var running sync.WaitGroup
		for n := range 4 {
			running.Go(func() {
				for m := range 5 {
					// These requests run while the intent changes, and may be judged by either.
					if response, body := s.send(t, http.MethodGet, "/read/x", "", headers.RequestID, fmt.Sprintf("r-%d-%d-%d", round, n, m)); response == nil || response.StatusCode != http.StatusOK {
						t.Errorf("got %v (%s) for a request with a key while teams vanish or come back, want 200", response, body)
					}
				}
			})
		}
		if withTeams {
			s.setIntent(t, version, nil)
		} else {
			s.setIntent(t, version, withoutTeams)
		}
		want := http.StatusOK
		if withTeams {
			want = http.StatusUnauthorized
		}
		if response, body := s.send(t, http.MethodGet, "/read/x", "", "Authorization", ""); response == nil || response.StatusCode != want {
			t.Errorf("got %v (%s) for a request without a key, teams %v, want %d", response, body, withTeams, want)
		}
		running.Wait()
	}
}

// TestRoutesWithoutTeamsRequireStoreConfirmation lets an instance lose contact with the store while its intent has no teams. An
// intent with teams may have been written since, so that requests must not be served without a key for longer than with a revoked
// one.
func TestRoutesWithoutTeamsRequireStoreConfirmation(t *testing.T) {
	s := newInstance(t, 1, respondSealed)
	s.setIntent(t, 2, func(c *intent.Content) { c.WithoutKeys, c.Teams, c.Keys = true, nil, nil })
	for _, want := range []int{http.StatusServiceUnavailable, http.StatusOK} {
		if want == http.StatusOK {
			s.state.Confirm(boottime.Now())
		} else {
			time.Sleep(1100 * time.Millisecond)
		}
		if response, body := s.send(t, http.MethodGet, "/read/x", "", "Authorization", ""); response == nil || response.StatusCode != want {
			t.Errorf("got %v (%s) for a request without a key, want %d", response, body, want)
		}
	}
}
