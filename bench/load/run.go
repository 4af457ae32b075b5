package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// maxRunning bounds the requests that run at once; further ones count as errors.
	maxRunning = 20_000
	// maxRefusalBytes bounds what is read of a refusal.
	maxRefusalBytes = 4 << 10
	// deadlineMargin leaves an instance time to say that a deadline has passed.
	deadlineMargin = 100 * time.Millisecond
)

// Options are what the command line adds to a plan.
type Options struct {
	// Processes are the numbers of the processes that the plan's faults name.
	Processes map[string]int
}

// outcome is what became of one request.
type outcome struct {
	arrival
	// latency counts from the time when the request was due.
	latency time.Duration
	// refusal is the reason of a refusal; empty for an answer or an error.
	refusal string
	// failure is what went wrong besides; empty for an answer or a refusal.
	failure string
}

// runner runs one plan.
type runner struct {
	plan    *Plan
	client  *http.Client
	locator *locator
	started time.Time
	// outcomes has one element for each arrival; each is written by the request's own goroutine.
	outcomes []outcome
	running  chan struct{}
}

// Run runs a plan and reports.
func Run(ctx context.Context, p Plan, o Options) (Report, error) {
	if err := checkProcesses(p, o); err != nil {
		return Report{}, err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}}
	defer client.CloseIdleConnections()
	schedule := newSchedule(&p)
	r := &runner{
		plan: &p, client: client, locator: newLocator(&p, client),
		outcomes: make([]outcome, len(schedule)), running: make(chan struct{}, maxRunning),
	}
	before := r.targetLoads(ctx)
	r.started = time.Now()
	faults := r.startFaults(ctx, o)
	sent := r.send(ctx, schedule)
	events := faults()
	if ctx.Err() != nil {
		return Report{}, context.Cause(ctx)
	}
	return newReport(&p, r.outcomes[:sent], events, before, r.targetLoads(ctx)), nil
}

// send starts each request when it is due, whatever became of earlier ones, and returns how many it started.
func (r *runner) send(ctx context.Context, schedule []arrival) int {
	var wait sync.WaitGroup
	defer wait.Wait()
	for i, a := range schedule {
		if !sleepUntil(ctx, r.started.Add(a.due)) {
			return i
		}
		select {
		case r.running <- struct{}{}:
		default:
			r.outcomes[i] = outcome{arrival: a, failure: "too many requests run at once"}
			continue
		}
		wait.Go(func() {
			r.outcomes[i] = r.request(ctx, a)
			<-r.running
		})
	}
	return len(schedule)
}

func (r *runner) request(ctx context.Context, a arrival) outcome {
	due := r.started.Add(a.due)
	ctx, cancel := context.WithDeadline(ctx, due.Add(a.stream.Timeout))
	defer cancel()
	o := outcome{arrival: a, failure: "no instance could be reached"}
	for _, instance := range r.locator.instances(ctx, a.stream.Service) {
		refusal, err := r.attempt(ctx, a, instance)
		o.refusal, o.failure = refusal, ""
		if err != nil {
			o.failure = failureOf(err)
		}
		if !isDial(err) && !mayMove(refusal) {
			break
		}
	}
	o.latency = time.Since(due)
	return o
}

// mayMove reports whether a refusal asks the caller to use another instance.
func mayMove(refusal string) bool {
	return refusal == "instance-leaving" || refusal == "instance-unconfirmed"
}

type wireRefusal struct {
	Error struct {
		Reason string `json:"reason"`
	} `json:"error"`
}

func (r *runner) attempt(ctx context.Context, a arrival, instance string) (refusal string, err error) {
	body := bytes.NewReader(make([]byte, a.stream.BodyBytes))
	request, err := http.NewRequestWithContext(ctx, a.stream.Method, "http://"+instance+a.stream.Path, body)
	if err != nil {
		return "", err
	}
	request.GetBody = nil
	if a.team.Key != "" {
		request.Header.Set("Authorization", "Bearer "+a.team.Key)
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline)-deadlineMargin, time.Millisecond)
		request.Header.Set("Request-Timeout", strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
	}
	response, err := r.client.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode < http.StatusBadRequest {
		_, err := io.Copy(io.Discard, response.Body)
		return "", err
	}
	var wire wireRefusal
	if err := json.NewDecoder(io.LimitReader(response.Body, maxRefusalBytes)).Decode(&wire); err != nil || wire.Error.Reason == "" {
		return "status-" + strconv.Itoa(response.StatusCode), nil
	}
	return wire.Error.Reason, nil
}

func failureOf(err error) string {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "no answer in time"
	case isDial(err):
		return "connection refused"
	default:
		return "connection broke"
	}
}

// isDial reports whether an error proves that no connection was made.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// sleepUntil reports whether the time came before the context ended.
func sleepUntil(ctx context.Context, t time.Time) bool {
	wait := time.Until(t)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}
