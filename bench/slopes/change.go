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
	// team is the resource that is changed.
	team = "team"
	// changePause lies between two changes.
	changePause = 100 * time.Millisecond
	// pollInterval is the pause between questions whether a change is in force.
	pollInterval = 2 * time.Millisecond
	// inForceTimeout bounds the wait for a change.
	inForceTimeout = 10 * time.Second
	// callTimeout bounds one call.
	callTimeout = 5 * time.Second
)

type wireWrite struct {
	Actor    string            `json:"actor"`
	Reason   string            `json:"reason"`
	Resource resource.Resource `json:"resource"`
}

type wireRevision struct {
	Revision uint64 `json:"revision"`
	Version  uint64 `json:"version"`
}

// change writes changes and waits for each to be in force in every instance; it returns the sum of these times.
func change(ctx context.Context, p fleet.Plan, count int) (time.Duration, error) {
	address := p.Entries[0].Operator
	var have wireRevision
	if err := call(ctx, http.MethodGet, "http://"+address+"/v1/resources/team/"+team, nil, &have); err != nil {
		return 0, err
	}
	version := have.Version
	var spent time.Duration
	for i := range count {
		started := time.Now()
		r := resource.Resource{
			Kind: resource.KindTeam, Name: team, Version: version,
			Spec: resource.Team{Rate: float64(100 + i), Burst: 10, Weight: 1},
		}
		var accepted wireRevision
		body := wireWrite{Actor: "slopes", Reason: "measuring", Resource: r}
		if err := call(ctx, http.MethodPut, "http://"+address+"/v1/resources/team/"+team, body, &accepted); err != nil {
			return 0, err
		}
		version = accepted.Revision
		if err := waitInForce(ctx, p, version); err != nil {
			return 0, err
		}
		spent += time.Since(started)
		pause(ctx, changePause)
	}
	return spent, nil
}

// waitInForce asks every instance itself.
func waitInForce(ctx context.Context, p fleet.Plan, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	for _, e := range p.Entries {
		for {
			var have wireRevision
			if err := call(ctx, http.MethodGet, "http://"+e.Operator+"/v1/status", nil, &have); err != nil {
				return err
			}
			if have.Revision >= revision {
				break
			}
			pause(ctx, pollInterval)
		}
	}
	return nil
}

func call(ctx context.Context, method, url string, body, into any) error {
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
	return json.NewDecoder(response.Body).Decode(into)
}
