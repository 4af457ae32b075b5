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
	// maxInFlight bounds the concurrent requests; further ones are not sent and count as failures.
	maxInFlight = 20_000
	// maxRefusalBytes bounds the bytes read from the body of a refusal.
	maxRefusalBytes = 4 << 10
	// deadlineMargin is how much earlier than the caller's deadline the instance's deadline is, so that the instance can still
	// answer that the deadline has passed.
	deadlineMargin = 100 * time.Millisecond
)

// Options has the settings of a run that are not part of the plan.
type Options struct {
	// PIDs maps the process names in the plan's faults to process IDs.
	PIDs map[string]int
}

// outcome is the result of one request.
type outcome struct {
	arrival
	// latency counts from the scheduled time of the request.
	latency time.Duration
	// refusal is the reason of a refusal; empty if the request was answered or failed.
	refusal string
	// failure is the reason why the request failed; empty if it was answered or refused.
	failure string
}

// runner holds the state of one run.
type runner struct {
	plan     *Plan
	client   *http.Client
	resolver *instanceResolver
	started  time.Time
	// outcomes has one element for each arrival, written only by the goroutine of that request.
	outcomes []outcome
	// inFlight is a semaphore that limits the concurrent requests.
	inFlight chan struct{}
}

// Run runs a plan and returns the report. It returns the context's cause if the context ends before the run does.
func Run(ctx context.Context, p Plan, o Options) (Report, error) {
	if err := checkPIDs(p, o); err != nil {
		return Report{}, err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}}
	defer client.CloseIdleConnections()
	schedule := newSchedule(&p)
	r := &runner{
		plan: &p, client: client, resolver: newInstanceResolver(&p, client),
		outcomes: make([]outcome, len(schedule)), inFlight: make(chan struct{}, maxInFlight),
	}
	before := r.targetLoads(ctx)
	r.started = time.Now()
	stopFaults := r.startFaultInjection(ctx, o)
	sent := r.send(ctx, schedule)
	events := stopFaults()
	if ctx.Err() != nil {
		return Report{}, context.Cause(ctx)
	}
	return newReport(&p, r.outcomes[:sent], events, before, r.targetLoads(ctx)), nil
}

// send starts each request at its scheduled time without waiting for earlier ones. It returns the number of requests that it
// handled, after all of them have finished.
func (r *runner) send(ctx context.Context, schedule []arrival) int {
	var wait sync.WaitGroup
	defer wait.Wait()
	for i, a := range schedule {
		if !sleepUntil(ctx, r.started.Add(a.due)) {
			return i
		}
		select {
		case r.inFlight <- struct{}{}:
		default:
			r.outcomes[i] = outcome{arrival: a, failure: "too many requests run at once"}
			continue
		}
		wait.Go(func() {
			r.outcomes[i] = r.request(ctx, a)
			<-r.inFlight
		})
	}
	return len(schedule)
}

func (r *runner) request(ctx context.Context, a arrival) outcome {
	due := r.started.Add(a.due)
	ctx, cancel := context.WithDeadline(ctx, due.Add(a.stream.Timeout))
	defer cancel()
	o := outcome{arrival: a, failure: "no instance could be reached"}
	for _, instance := range r.resolver.instances(ctx, a.stream.Service) {
		refusal, err := r.attempt(ctx, a, instance)
		o.refusal, o.failure = refusal, ""
		if err != nil {
			o.failure = failureReason(err)
		}
		if !isDialError(err) && !asksForOtherInstance(refusal) {
			break
		}
	}
	o.latency = time.Since(due)
	return o
}

// asksForOtherInstance reports whether the reason of a refusal tells the caller to use another instance.
func asksForOtherInstance(refusal string) bool {
	return refusal == "instance-leaving" || refusal == "instance-unconfirmed"
}

type errorResponse struct {
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
		remaining := max(time.Until(deadline)-deadlineMargin, time.Millisecond)
		request.Header.Set("Request-Timeout", strconv.FormatFloat(remaining.Seconds(), 'f', 3, 64))
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
	var decoded errorResponse
	if err := json.NewDecoder(io.LimitReader(response.Body, maxRefusalBytes)).Decode(&decoded); err != nil || decoded.Error.Reason == "" {
		return "status-" + strconv.Itoa(response.StatusCode), nil
	}
	return decoded.Error.Reason, nil
}

func failureReason(err error) string {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "no answer in time"
	case isDialError(err):
		return "connection refused"
	default:
		return "connection broke"
	}
}

// isDialError reports whether the connection could not be established, so that the request was not sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// sleepUntil waits until the given time and returns true, or returns false if the context ends first.
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
