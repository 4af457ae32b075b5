// Package fleet runs a complete trial fleet on loopback in one process: a stand-in platform, entry instances and targets.
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
	// headerTimeout is the timeout for reading the headers of a request.
	headerTimeout = 5 * time.Second
	// readyTimeout is the timeout for starting the instances and creating the resources.
	readyTimeout = 15 * time.Second
	// readyInterval is the interval between readiness checks of an instance.
	readyInterval = 50 * time.Millisecond
	// callTimeout is the timeout of one call to an instance.
	callTimeout = 5 * time.Second
)

// Config describes the parts of a fleet.
type Config struct {
	// PlatformAddress is the listen address of the stand-in platform.
	PlatformAddress string
	Entries         []Entry
	// ProcessingTime is the processing time of each request at a target.
	ProcessingTime time.Duration
	// Resources are created once the instances are ready. A stand-in target is started for each target among them.
	Resources []resource.Resource
}

// Entry holds the identity and the listen addresses of an entry instance.
type Entry struct {
	ID            string `yaml:"id"`
	Region        string `yaml:"region"`
	FailureDomain string `yaml:"failure-domain"`
	Caller        string `yaml:"caller"`
	Operator      string `yaml:"operator"`
	Peer          string `yaml:"peer"`
}

// Fleet is a trial fleet. It can be run once.
type Fleet struct {
	config   Config
	logger   *zap.Logger
	platform *standinplatform.Platform
}

// New returns a fleet with the given configuration.
func New(config Config, logger *zap.Logger) *Fleet {
	return &Fleet{config: config, logger: logger, platform: standinplatform.New()}
}

// StoreCalls returns the number of calls to the stand-in platform. A blocking query counts as one.
func (f *Fleet) StoreCalls() uint64 { return f.platform.CallCount() }

// Run starts the fleet, creates the resources, calls onReady, and serves until the context ends.
func (f *Fleet) Run(ctx context.Context, onReady func()) error {
	// The platform and the targets stop after the instances, which need them for a graceful stop.
	dependenciesCtx, stopDependencies := context.WithCancel(context.WithoutCancel(ctx))
	defer stopDependencies()
	group, ctx := errgroup.WithContext(ctx)
	dependencies, _ := errgroup.WithContext(dependenciesCtx)
	dependencies.Go(func() error { return serve(dependenciesCtx, f.config.PlatformAddress, f.platform) })
	for _, r := range f.config.Resources {
		if spec, ok := r.Spec.(resource.Target); ok {
			handler := target.New(r.Name, int64(spec.Slots), f.config.ProcessingTime)
			dependencies.Go(func() error { return serve(dependenciesCtx, spec.Address, handler) })
		}
	}
	for _, e := range f.config.Entries {
		group.Go(func() error { return f.newInstance(e).Run(ctx) })
	}
	group.Go(func() error {
		if err := f.createResources(ctx); err != nil {
			return err
		}
		onReady()
		return nil
	})
	err := group.Wait()
	stopDependencies()
	return errors.Join(err, dependencies.Wait())
}

func (f *Fleet) newInstance(e Entry) *instance.Instance {
	s := settings.Defaults()
	s.Instance = settings.Instance{ID: e.ID, Region: e.Region, FailureDomain: e.FailureDomain}
	s.Listen = settings.Listen{Caller: e.Caller, Operator: e.Operator, Peer: e.Peer}
	s.Requests.LookupTTL = time.Second
	for _, other := range f.config.Entries {
		if other.ID != e.ID {
			s.Peers.Seeds = append(s.Peers.Seeds, other.Peer)
		}
	}
	store, _ := platform.NewHTTP("http://"+f.config.PlatformAddress, s.Platform.CallTimeout)
	return instance.New(s, store, f.logger)
}

// createResources waits until all instances are ready and creates the resources through the first one.
func (f *Fleet) createResources(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, e := range f.config.Entries {
		if err := waitReady(ctx, e.Operator); err != nil {
			return err
		}
	}
	for _, r := range f.config.Resources {
		if err := create(ctx, f.config.Entries[0].Operator, r); err != nil {
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
			return trace.Wrap(context.Cause(ctx), "waiting for the instance at %s to become ready", address)
		}
	}
}

// errUnexpectedStatus is returned for a response with an unexpected status.
type errUnexpectedStatus struct {
	status int
}

// Error implements error.
func (e *errUnexpectedStatus) Error() string { return fmt.Sprintf("unexpected status %d", e.status) }

type createRequest struct {
	Actor    string            `json:"actor"`
	Reason   string            `json:"reason"`
	Resource resource.Resource `json:"resource"`
}

func create(ctx context.Context, address string, r resource.Resource) error {
	body, err := json.Marshal(createRequest{Actor: "stand-in", Reason: "first set-up", Resource: r})
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
		return &errUnexpectedStatus{status: response.StatusCode}
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
