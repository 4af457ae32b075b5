package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	yaml "github.com/goccy/go-yaml"
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

// file is the content of a trial file.
type file struct {
	Platform struct {
		Listen string `yaml:"listen"`
	} `yaml:"platform"`
	Entries []entry `yaml:"entries"`
	Targets struct {
		Work time.Duration `yaml:"work"`
	} `yaml:"targets"`
	Resources []any `yaml:"resources"`
}

// entry is one entry instance of a trial file.
type entry struct {
	ID            string `yaml:"id"`
	Region        string `yaml:"region"`
	FailureDomain string `yaml:"failure-domain"`
	Caller        string `yaml:"caller"`
	Operator      string `yaml:"operator"`
	Peer          string `yaml:"peer"`
}

// trial is a running trial fleet.
type trial struct {
	file      file
	resources []resource.Resource
	logger    *zap.Logger
}

// load reads a trial file.
func load(path string, logger *zap.Logger) (*trial, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	t := &trial{logger: logger}
	if err := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict()).Decode(&t.file); err != nil {
		return nil, err
	}
	encoded, err := json.Marshal(t.file.Resources)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return t, json.Unmarshal(encoded, &t.resources)
}

// run starts the fleet, writes the resources, and serves until the context ends.
func (t *trial) run(ctx context.Context, ready func()) error {
	// The platform and the targets outlive the instances, which need them to stop gracefully.
	around, stopAround := context.WithCancel(context.WithoutCancel(ctx))
	defer stopAround()
	group, ctx := errgroup.WithContext(ctx)
	outer, _ := errgroup.WithContext(around)
	outer.Go(func() error { return serve(around, t.file.Platform.Listen, standinplatform.New()) })
	for _, r := range t.resources {
		if spec, ok := r.Spec.(resource.Target); ok {
			handler := target.New(r.Name, int64(spec.Slots), t.file.Targets.Work)
			outer.Go(func() error { return serve(around, spec.Address, handler) })
		}
	}
	for _, e := range t.file.Entries {
		group.Go(func() error { return t.instance(e).Run(ctx) })
	}
	group.Go(func() error {
		if err := t.prepare(ctx); err != nil {
			return err
		}
		ready()
		return nil
	})
	err := group.Wait()
	stopAround()
	return errors.Join(err, outer.Wait())
}

func (t *trial) instance(e entry) *instance.Instance {
	s := settings.Defaults()
	s.Instance = settings.Instance{ID: e.ID, Region: e.Region, FailureDomain: e.FailureDomain}
	s.Listen = settings.Listen{Caller: e.Caller, Operator: e.Operator, Peer: e.Peer}
	s.Requests.LookupTTL = time.Second
	for _, other := range t.file.Entries {
		if other.ID != e.ID {
			s.Peers.Seeds = append(s.Peers.Seeds, other.Peer)
		}
	}
	store, _ := platform.NewHTTP("http://"+t.file.Platform.Listen, s.Platform.CallTimeout)
	return instance.New(s, store, t.logger)
}

// prepare waits for the instances and writes the resources through the first of them.
func (t *trial) prepare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, e := range t.file.Entries {
		if err := waitReady(ctx, e.Operator); err != nil {
			return err
		}
	}
	for _, r := range t.resources {
		if err := create(ctx, t.file.Entries[0].Operator, r); err != nil {
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
	body, err := json.Marshal(wireWrite{Actor: "trial", Reason: "first set-up", Resource: r})
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
