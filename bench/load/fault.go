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

// faultTimeout bounds the call that switches faults of the stand-in platform.
const faultTimeout = 2 * time.Second

var signals = map[string]syscall.Signal{
	"stop": syscall.SIGSTOP, "continue": syscall.SIGCONT, "terminate": syscall.SIGTERM, "kill": syscall.SIGKILL,
}

// Event is a fault that was caused.
type Event struct {
	At   time.Duration `json:"at-ns"`
	What string        `json:"what"`
	// Error says why the fault could not be caused.
	Error string `json:"error,omitempty"`
}

// checkProcesses checks that each process of the faults has a number.
func checkProcesses(p Plan, o Options) error {
	for _, f := range p.Faults {
		if f.Process != "" && o.Processes[f.Process] <= 0 {
			return &ErrInvalid{Setting: "faults.process", Fix: "give the process number by --pid " + f.Process + ":NUMBER"}
		}
	}
	return nil
}

// startFaults causes the faults at their times; the returned function ends that and returns what was caused.
func (r *runner) startFaults(ctx context.Context, o Options) func() []Event {
	ctx, cancel := context.WithCancel(ctx)
	var wait sync.WaitGroup
	var events []Event
	faults := slices.Clone(r.plan.Faults)
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	wait.Go(func() {
		for _, f := range faults {
			if !sleepUntil(ctx, r.started.Add(f.At)) {
				return
			}
			events = append(events, r.cause(ctx, f, o))
		}
	})
	return func() []Event {
		cancel()
		wait.Wait()
		return events
	}
}

func (r *runner) cause(ctx context.Context, f Fault, o Options) Event {
	e := Event{At: time.Since(r.started), What: f.Signal + " " + f.Process}
	var err error
	if f.Process != "" {
		err = syscall.Kill(o.Processes[f.Process], signals[f.Signal])
	} else {
		e.What = fmt.Sprintf("platform %v", f.Set)
		err = r.setPlatform(ctx, f)
	}
	if err != nil {
		e.Error = err.Error()
	}
	return e
}

func (r *runner) setPlatform(ctx context.Context, f Fault) error {
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
