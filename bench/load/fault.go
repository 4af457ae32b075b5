package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// faultTimeout bounds one call that sets the faults of the stand-in platform.
const faultTimeout = 2 * time.Second

var signals = map[string]syscall.Signal{
	"stop": syscall.SIGSTOP, "continue": syscall.SIGCONT, "terminate": syscall.SIGTERM, "kill": syscall.SIGKILL,
}

// FaultEvent reports the attempt to inject a fault.
type FaultEvent struct {
	// At is the time since the start of the run.
	At          time.Duration `json:"at-ns"`
	Description string        `json:"what"`
	// Error says why the fault could not be injected; empty on success.
	Error string `json:"error,omitempty"`
}

// checkPIDs checks that a PID is given for each process that a fault names.
func checkPIDs(p Plan, o Options) error {
	for _, f := range p.Faults {
		if f.Process != "" && o.PIDs[f.Process] <= 0 {
			return &ErrInvalid{Setting: "faults.process", Fix: "give the process ID with --pid " + f.Process + ":NUMBER"}
		}
	}
	return nil
}

// startFaultInjection injects the plan's faults at their times in a goroutine. The returned function stops it, waits for it and
// returns an event for each attempted injection.
func (r *runner) startFaultInjection(ctx context.Context, o Options) func() []FaultEvent {
	ctx, cancel := context.WithCancel(ctx)
	var wait sync.WaitGroup
	var events []FaultEvent
	faults := slices.Clone(r.plan.Faults)
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	wait.Go(func() {
		for _, f := range faults {
			if !sleepUntil(ctx, r.started.Add(f.At)) {
				return
			}
			events = append(events, r.inject(ctx, f, o))
		}
	})
	return func() []FaultEvent {
		cancel()
		wait.Wait()
		return events
	}
}

func (r *runner) inject(ctx context.Context, f Fault, o Options) FaultEvent {
	e := FaultEvent{At: time.Since(r.started), Description: f.Signal + " " + f.Process}
	var err error
	if f.Process != "" {
		err = syscall.Kill(o.PIDs[f.Process], signals[f.Signal])
	} else {
		e.Description = fmt.Sprintf("platform %v", f.Set)
		err = r.setPlatformFaults(ctx, f)
	}
	if err != nil {
		e.Error = err.Error()
	}
	return e
}

func (r *runner) setPlatformFaults(ctx context.Context, f Fault) error {
	ctx, cancel := context.WithTimeout(ctx, faultTimeout)
	defer cancel()
	body, err := json.Marshal(f.Set)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+f.Platform+"/faults", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := r.client.Do(request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return &ErrInvalid{Setting: "faults.set", Fix: response.Status}
	}
	return nil
}
