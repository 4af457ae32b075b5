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
	// callers is the number of callers at once.
	callers = 16
	// maxBatch is the number of requests in a check.
	maxBatch = 80
	// refusing is an address at which nothing listens; a port that was merely free may be taken by another test.
	refusing = "127.0.0.1:1"
)

// call is one request with what became of it.
type call struct {
	plannedRequest

	id      string
	outcome outcome
}

// TestAnswers sends requests from many callers at once through targets that refuse, shed, reset, die in the middle and
// answer late, and checks four promises: each caller gets the whole answer to its own request or sees a failure; a
// refusal that says "not run" is true; a request that is not idempotent runs at most once; every request ends.
func TestAnswers(t *testing.T) {
	j := faulty.NewJournal()
	b := startBench(t, zap.NewNop(), append(baseResources(),
		targetResource("desk", "desk-1", startFaulty(t, j)), targetResource("desk", "desk-2", startFaulty(t, j)),
		targetResource("desk", "desk-3", startFaulty(t, j)), targetResource("desk", "desk-4", refusing),
		targetResource("desk", "desk-5", startServer(t, faulty.ServeResets)), targetResource("mixed", "mixed-1", startFaulty(t, j)),
		targetResource("mixed", "mixed-2", refusing), targetResource("dead", "dead-1", refusing),
	))
	var seen tally
	batch := 0
	rapid.Check(t, func(rt *rapid.T) {
		batch++
		calls := run(b.settings.Listen.Caller, rapid.SliceOfN(genRequest(), callers, maxBatch).Draw(rt, "requests"), batch)
		waitUntil(t, "idle", j.Idle)
		for _, c := range calls {
			seen.add(c)
			if err := verdict(c, j.RunsOf(c.id)); err != nil {
				rt.Errorf("%s %s, faults %v: %v", c.method, c.id, c.faults, err)
			}
		}
	})
	seen.check(t, j)
}

// run sends the requests from several callers at once.
func run(address string, requests []plannedRequest, batch int) []*call {
	calls := make([]*call, len(requests))
	for i, p := range requests {
		calls[i] = &call{plannedRequest: p, id: fmt.Sprintf("%d-%d", batch, i)}
	}
	var group sync.WaitGroup
	for n := range callers {
		group.Go(func() {
			c := &caller{address: address}
			defer c.close()
			for i := n; i < len(calls); i += callers {
				calls[i].outcome = c.call(calls[i].plannedRequest, calls[i].id)
			}
		})
	}
	group.Wait()
	return calls
}

// verdict is the oracle: it says which promise a call shows to be broken.
func verdict(c *call, runs int) error {
	o := c.outcome
	switch {
	case errors.Is(o.err, os.ErrDeadlineExceeded):
		return errors.New("the request did not end")
	case o.status == http.StatusOK && o.body != faulty.AnswerTo(c.id, c.body):
		return fmt.Errorf("got another answer than its own: %.80q", o.body)
	case o.status == http.StatusOK && runs == 0:
		return errors.New("got an answer and no target ran it")
	case o.notRun && runs > 0:
		return fmt.Errorf("says not run, and ran %d times: %s", runs, o.body)
	case !c.idempotent() && runs > 1:
		return fmt.Errorf("not idempotent, and ran %d times", runs)
	}
	return nil
}

// tally shows that the test has met what it is about.
type tally struct {
	requests, whole, notRun, broken, other int
}

func (s *tally) add(c *call) {
	s.requests++
	switch {
	case c.outcome.status == http.StatusOK:
		s.whole++
	case c.outcome.notRun:
		s.notRun++
	case c.outcome.status == 0:
		s.broken++
	default:
		s.other++
	}
}

// check fails if an outcome or a fault was never met; such a test would show nothing.
func (s *tally) check(t *testing.T, j *faulty.Journal) {
	t.Helper()
	t.Logf("%+v", *s)
	if s.whole < s.requests/4 || s.notRun == 0 || s.broken == 0 || s.other == 0 {
		t.Errorf("the outcomes are too few to show anything: %+v", *s)
	}
	for _, f := range faulty.All() {
		if j.Met(f) == 0 {
			t.Errorf("no target has acted out %s", f)
		}
	}
}
