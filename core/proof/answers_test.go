package proof_test

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"testing"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"medlarpond.dev/core/standin/faulty"
)

const (
	// callerCount is the number of concurrent callers.
	callerCount = 16
	// maxRequests is the largest number of requests in one check.
	maxRequests = 80
	// refusingAddress is an address that refuses connections. It is a fixed port on which nothing listens, because another
	// test could take a port that was only found to be free.
	refusingAddress = "127.0.0.1:1"
)

// call is a request with its outcome.
type call struct {
	plannedRequest

	id      string
	outcome outcome
}

// TestAnswers sends requests from concurrent callers through targets that refuse connections, shed requests, reset
// connections, break off in the middle of a response and respond late. It checks four guarantees: each caller gets the
// complete response to its own request or sees a failure; a request that is reported as not run was not run; a
// non-idempotent request runs at most once; every request ends.
func TestAnswers(t *testing.T) {
	j := faulty.NewJournal()
	instance := startTestInstance(t, zap.NewNop(), append(baseResources(),
		targetResource("desk", "desk-1", startFaulty(t, j)), targetResource("desk", "desk-2", startFaulty(t, j)),
		targetResource("desk", "desk-3", startFaulty(t, j)), targetResource("desk", "desk-4", refusingAddress),
		targetResource("desk", "desk-5", startServer(t, faulty.ServeResets)), targetResource("mixed", "mixed-1", startFaulty(t, j)),
		targetResource("mixed", "mixed-2", refusingAddress), targetResource("dead", "dead-1", refusingAddress),
	))
	var counts outcomeCounts
	batch := 0
	rapid.Check(t, func(rt *rapid.T) {
		batch++
		calls := sendAll(instance.settings.Listen.Caller, rapid.SliceOfN(genRequest(), callerCount, maxRequests).Draw(rt, "requests"), batch)
		waitUntil(t, "targets are idle", j.Idle)
		for _, c := range calls {
			counts.add(c)
			if err := checkCall(c, j.RunCount(c.id)); err != nil {
				rt.Errorf("%s %s, faults %v: %v", c.method, c.id, c.faults, err)
			}
		}
	})
	counts.check(t, j)
}

// sendAll sends the requests from concurrent callers and returns the calls in the order of the requests.
func sendAll(address string, requests []plannedRequest, batch int) []*call {
	calls := make([]*call, len(requests))
	for i, p := range requests {
		calls[i] = &call{plannedRequest: p, id: fmt.Sprintf("%d-%d", batch, i)}
	}
	var group sync.WaitGroup
	for n := range callerCount {
		group.Go(func() {
			c := &caller{address: address}
			defer c.close()
			for i := n; i < len(calls); i += callerCount {
				calls[i].outcome = c.call(calls[i].plannedRequest, calls[i].id)
			}
		})
	}
	group.Wait()
	return calls
}

// checkCall returns an error if the outcome of a call violates a guarantee. runs is how often targets ran the request.
func checkCall(c *call, runs int) error {
	o := c.outcome
	switch {
	case errors.Is(o.err, os.ErrDeadlineExceeded):
		return errors.New("the request did not end before the timeout")
	case o.status == http.StatusOK && o.body != faulty.ExpectedResponse(c.id, c.body):
		return fmt.Errorf("got a response that belongs to another request or is incomplete: %.80q", o.body)
	case o.status == http.StatusOK && runs == 0:
		return errors.New("got a response with status 200, but no target ran the request")
	case o.notRun && runs > 0:
		return fmt.Errorf("reported as not run, but targets ran it %d times: %s", runs, o.body)
	case !c.idempotent() && runs > 1:
		return fmt.Errorf("targets ran a non-idempotent request %d times, want at most once", runs)
	}
	return nil
}

// outcomeCounts counts the outcomes of the calls, to check that the test covers all of them.
type outcomeCounts struct {
	requests, complete, notRun, noResponse, other int
}

func (s *outcomeCounts) add(c *call) {
	s.requests++
	switch {
	case c.outcome.status == http.StatusOK:
		s.complete++
	case c.outcome.notRun:
		s.notRun++
	case c.outcome.status == 0:
		s.noResponse++
	default:
		s.other++
	}
}

// check fails if there were too few successful calls, or if an outcome or a fault never occurred; the test would then
// prove nothing.
func (s *outcomeCounts) check(t *testing.T, j *faulty.Journal) {
	t.Helper()
	t.Logf("%+v", *s)
	if s.complete < s.requests/4 || s.notRun == 0 || s.noResponse == 0 || s.other == 0 {
		t.Errorf("got outcomes %+v, want a quarter complete and each other outcome at least once", *s)
	}
	for _, f := range faulty.All() {
		if j.InjectedCount(f) == 0 {
			t.Errorf("no target has simulated the fault %s", f)
		}
	}
}
