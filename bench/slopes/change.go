package slopes

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/standin/fleet"
)

const (
	// teamName is the name of the team whose rate is changed.
	teamName = "team"
	// changePause is the pause after each change.
	changePause = 100 * time.Millisecond
	// pollInterval is the pause between checks whether an instance has applied a change.
	pollInterval = 2 * time.Millisecond
	// applyTimeout bounds the wait until all instances have applied a change.
	applyTimeout = 10 * time.Second
	// callTimeout bounds one call of the operator API.
	callTimeout = 5 * time.Second
)

type writeRequest struct {
	Actor    string            `json:"actor"`
	Reason   string            `json:"reason"`
	Resource resource.Resource `json:"resource"`
}

type revisionResponse struct {
	Revision uint64 `json:"revision"`
	Version  uint64 `json:"version"`
}

// applyChanges writes changes one after another through the first instance and waits for each until every instance has applied it.
// It returns the sum of the times from the write to the application, without the pauses.
func applyChanges(ctx context.Context, config fleet.Config, count int) (time.Duration, error) {
	address := config.Entries[0].Operator
	var current revisionResponse
	if err := call(ctx, http.MethodGet, "http://"+address+"/v1/resources/team/"+teamName, nil, &current); err != nil {
		return 0, err
	}
	version := current.Version
	var total time.Duration
	for i := range count {
		started := time.Now()
		r := resource.Resource{
			Kind: resource.KindTeam, Name: teamName, Version: version,
			Spec: resource.Team{Rate: float64(100 + i), Burst: 10, Weight: 1},
		}
		var accepted revisionResponse
		body := writeRequest{Actor: "slopes", Reason: "measuring", Resource: r}
		if err := call(ctx, http.MethodPut, "http://"+address+"/v1/resources/team/"+teamName, body, &accepted); err != nil {
			return 0, err
		}
		version = accepted.Revision
		if err := waitApplied(ctx, config, version); err != nil {
			return 0, err
		}
		total += time.Since(started)
		pause(ctx, changePause)
	}
	return total, nil
}

// waitApplied waits until every instance has applied the revision, by polling the status of each.
func waitApplied(ctx context.Context, config fleet.Config, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	for _, e := range config.Entries {
		for {
			var status revisionResponse
			if err := call(ctx, http.MethodGet, "http://"+e.Operator+"/v1/status", nil, &status); err != nil {
				return err
			}
			if status.Revision >= revision {
				break
			}
			pause(ctx, pollInterval)
		}
	}
	return nil
}

func call(ctx context.Context, method, url string, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	content, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(content))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		return trace.BadParameter("%s %s: %s", method, url, response.Status)
	}
	return json.NewDecoder(response.Body).Decode(result)
}
