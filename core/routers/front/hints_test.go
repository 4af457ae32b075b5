package front_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// countReceived returns the number of requests that a target received later than a time.
func (s *testInstance) countReceived(target string, after time.Time) int {
	count := 0
	for _, r := range s.receivedRequests() {
		if r.target == target && r.at.After(after) {
			count++
		}
	}
	return count
}

// TestPausedTargetGetsNoRequests lets one of two targets turn requests away for a time that it names in Retry-After. Callers
// go on; without this, each request for an object of that target is offered to it first.
func TestPausedTargetGetsNoRequests(t *testing.T) {
	const pause = 1200 * time.Millisecond
	s := newInstance(t, 2, func(w http.ResponseWriter, r *http.Request, n int) {
		if n == 1 {
			w.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', 1, 64))
			respondShed(w)
			return
		}
		respondSealed(w, r, n)
	})
	s.keepConfirmed(t)
	for n, end := 0, time.Now().Add(2500*time.Millisecond); time.Now().Before(end); n++ {
		response, body := s.send(t, http.MethodGet, fmt.Sprintf("/read/%d", n%40), "", headers.RequestID, fmt.Sprint("r-", n), "Cookie", fmt.Sprintf("object=%d", n%40))
		if response == nil || response.StatusCode != http.StatusOK {
			t.Fatalf("got %v (%s), want 200 from the other target", response, body)
		}
		time.Sleep(5 * time.Millisecond)
	}
	paused, refusedAt := s.receivedRequests()[0].target, s.receivedRequests()[0].at
	during := s.countReceived(paused, refusedAt.Add(100*time.Millisecond)) - s.countReceived(paused, refusedAt.Add(pause))
	if during > 0 {
		t.Errorf("the target got %d requests in the %v for which it wanted none", during, pause)
	}
	if s.countReceived(paused, refusedAt.Add(pause)) == 0 {
		t.Error("the target got no request after that")
	}
}

// TestRefusalWhileAllTargetsArePaused checks that a caller learns at once when a target takes requests again, and that the
// instance does not offer the request to a target in the meantime.
func TestRefusalWhileAllTargetsArePaused(t *testing.T) {
	s := newInstance(t, 1, func(w http.ResponseWriter, _ *http.Request, _ int) {
		w.Header().Set("Retry-After", "7")
		respondShed(w)
	})
	s.keepConfirmed(t)
	for n := range 3 {
		response, body := s.send(t, http.MethodGet, "/read/x", "", headers.RequestID, fmt.Sprint("r-", n))
		if response == nil || response.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("got %v (%s), want 503", response, body)
		}
		if after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); n > 0 && (err != nil || after < 5 || after > 7) {
			t.Errorf("got Retry-After %q, want the rest of the 7 s for which the target wants no requests", response.Header.Get("Retry-After"))
		}
	}
	if n := len(s.receivedRequests()); n != 1 {
		t.Errorf("the target got %d requests, want 1", n)
	}
}

// TestImplausiblePauses checks values of Retry-After in the response of a target that must not keep requests from it.
func TestImplausiblePauses(t *testing.T) {
	for _, value := range []string{"", "0", "-5", "soon", "NaN", "Inf", "0x10", "1e99999", "3, 4", "Wed, 21 Oct 2026 07:28:00 GMT"} {
		t.Run(value, func(t *testing.T) {
			t.Parallel()
			s := newInstance(t, 1, func(w http.ResponseWriter, r *http.Request, n int) {
				if n == 1 {
					w.Header()["Retry-After"] = []string{value}
					respondShed(w)
					return
				}
				respondSealed(w, r, n)
			})
			s.keepConfirmed(t)
			_, _ = s.send(t, http.MethodGet, "/read/x", "", headers.RequestID, "r-1")
			if response, body := s.send(t, http.MethodGet, "/read/x", "", headers.RequestID, "r-2"); response == nil || response.StatusCode != http.StatusOK {
				t.Errorf("got %v (%s) after a refusal with Retry-After %q, want 200", response, body, value)
			}
		})
	}
}

// TestLeavingTargetGetsNoRequests lets one of two targets say in a response that it leaves, as the store may report it late or
// never. A target must get no request that a caller sends after the instance has passed such a response on.
func TestLeavingTargetGetsNoRequests(t *testing.T) {
	for name, c := range map[string]struct {
		values  []string
		leaving bool
	}{
		"leaving":             {[]string{"1"}, true},
		"leaving, said twice": {[]string{"0", "1"}, true},
		"not leaving":         {[]string{"0"}, false},
		"empty":               {[]string{""}, false},
		"malformed":           {[]string{"perhaps"}, false},
		"negative":            {[]string{"-1"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newInstance(t, 2, func(w http.ResponseWriter, r *http.Request, n int) {
				if n == 1 {
					w.Header()[headers.Leaving] = c.values
				}
				respondSealed(w, r, n)
			})
			s.keepConfirmed(t)
			for n := range 60 {
				response, body := s.send(t, http.MethodGet, fmt.Sprintf("/read/%d", n), "", headers.RequestID, fmt.Sprint("r-", n), "Cookie", fmt.Sprintf("object=%d", n))
				if response == nil || response.StatusCode != http.StatusOK {
					t.Fatalf("got %v (%s), want 200", response, body)
				}
			}
			first := s.receivedRequests()[0]
			if n := s.countReceived(first.target, first.at); (n > 0) == c.leaving {
				t.Errorf("the target got %d requests after its response with %q, want none: %v", n, c.values, c.leaving)
			}
		})
	}
}

// TestHintsOfAnotherTargetAreIgnored lets another target, at the address of the only one, refuse a misdirected request and say
// that it leaves and wants no requests.
func TestHintsOfAnotherTargetAreIgnored(t *testing.T) {
	s := newInstance(t, 1, func(w http.ResponseWriter, r *http.Request, n int) {
		if n == 1 {
			w.Header().Set(headers.Leaving, "1")
			w.Header().Set("Retry-After", "60")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		respondSealed(w, r, n)
	})
	s.keepConfirmed(t)
	status := 0
	for n, end := 0, time.Now().Add(3*time.Second); status != http.StatusOK && time.Now().Before(end); n++ {
		if response, _ := s.send(t, http.MethodGet, "/read/x", "", headers.RequestID, fmt.Sprint("r-", n)); response != nil {
			status = response.StatusCode
		}
		time.Sleep(20 * time.Millisecond)
	}
	if status != http.StatusOK {
		t.Errorf("got status %d 3 s after a misdirected request, want 200", status)
	}
}
