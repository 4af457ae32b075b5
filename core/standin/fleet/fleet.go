// Package fleet runs a whole trial fleet on loopback in one process: a stand-in platform, entry instances and targets.
package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"medlarpond.dev/core/instance"
	"medlarpond.dev/core/models/platform"
	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/settings"
	standinplatform "medlarpond.dev/core/standin/platform"
	"medlarpond.dev/core/standin/target"
)

const (
	// headerTimeout bounds the time to read a request's headers.
	headerTimeout = 5 * time.Second
	// readyTimeout bounds the start of the instances.
	readyTimeout = 15 * time.Second
	// readyInterval is the pause between questions whether an instance is ready.
	readyInterval = 50 * time.Millisecond
	// callTimeout bounds one call to an instance.
	callTimeout = 5 * time.Second
)

// Plan says what a fleet consists of.
type Plan struct {
	// Platform is where the stand-in platform listens.
	Platform string
	Entries  []Entry
	// Work is how long a target works on a request.
	Work time.Duration
	// Resources are written once the instances are ready; each target among them is started.
	Resources []resource.Resource
}

// Entry is one Entry instance.
type Entry struct {
	ID            string `yaml:"id"`
	Region        string `yaml:"region"`
	FailureDomain string `yaml:"failure-domain"`
	Caller        string `yaml:"caller"`
	Operator      string `yaml:"operator"`
	Peer          string `yaml:"peer"`
}

// Fleet is a fleet that can be run once.
type Fleet struct {
	plan     Plan
	logger   *zap.Logger
	platform *standinplatform.Platform
}

// New returns a fleet that follows the plan.
func New(p Plan, logger *zap.Logger) *Fleet {
	return &Fleet{plan: p, logger: logger, platform: standinplatform.New()}
}

// StoreCalls returns the number of calls that the platform has had, a waiting watch counted as one.
func (f *Fleet) StoreCalls() uint64 { return f.platform.Calls() }

// Run starts the fleet, writes the resources, calls ready, and serves until the context ends.
func (f *Fleet) Run(ctx context.Context, ready func()) error {
	// The platform and the targets outlive the instances, which need them to stop gracefully.
	around, stopAround := context.WithCancel(context.WithoutCancel(ctx))
	defer stopAround()
	group, ctx := errgroup.WithContext(ctx)
	outer, _ := errgroup.WithContext(around)
	outer.Go(func() error { return serve(around, f.plan.Platform, f.platform) })
	for _, r := range f.plan.Resources {
		if spec, ok := r.Spec.(resource.Target); ok {
			handler := target.New(r.Name, int64(spec.Slots), f.plan.Work)
			outer.Go(func() error { return serve(around, spec.Address, handler) })
		}
	}
	for _, e := range f.plan.Entries {
		group.Go(func() error { return f.instance(e).Run(ctx) })
	}
	group.Go(func() error {
		if err := f.prepare(ctx); err != nil {
			return err
		}
		ready()
		return nil
	})
	err := group.Wait()
	stopAround()
	return errors.Join(err, outer.Wait())
}

func (f *Fleet) instance(e Entry) *instance.Instance {
	s := settings.Defaults()
	s.Instance = settings.Instance{ID: e.ID, Region: e.Region, FailureDomain: e.FailureDomain}
	s.Listen = settings.Listen{Caller: e.Caller, Operator: e.Operator, Peer: e.Peer}
	s.Requests.LookupTTL = time.Second
	for _, other := range f.plan.Entries {
		if other.ID != e.ID {
			s.Peers.Seeds = append(s.Peers.Seeds, other.Peer)
		}
	}
	store, _ := platform.NewHTTP("http://"+f.plan.Platform, s.Platform.CallTimeout)
	return instance.New(s, store, f.logger)
}

// prepare waits for the instances and writes the resources through the first of them.
func (f *Fleet) prepare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, e := range f.plan.Entries {
		if err := waitReady(ctx, e.Operator); err != nil {
			return err
		}
	}
	for _, r := range f.plan.Resources {
		if err := create(ctx, f.plan.Entries[0].Operator, r); err != nil {
			return trace.Wrap(err, "creating %s %s", r.Kind, r.Name)
		}
	}
	return nil
}

func waitReady(ctx context.Context, address string) error {
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-time.After(readyInterval):
		case <-ctx.Done():
			return trace.Wrap(context.Cause(ctx), "waiting for %s", address)
		}
	}
}

// errStatus is returned for an unexpected answer.
type errStatus struct {
	status int
}

// Error implements error.
func (e *errStatus) Error() string { return fmt.Sprintf("unexpected status %d", e.status) }

type wireWrite struct {
	Actor    string            `json:"actor"`
	Reason   string            `json:"reason"`
	Resource resource.Resource `json:"resource"`
}

func create(ctx context.Context, address string, r resource.Resource) error {
	body, err := json.Marshal(wireWrite{Actor: "stand-in", Reason: "first set-up", Resource: r})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	url := "http://" + address + "/v1/resources/" + string(r.Kind)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusCreated {
		return &errStatus{status: response.StatusCode}
	}
	return nil
}

func serve(ctx context.Context, address string, h http.Handler) error {
	server := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}
