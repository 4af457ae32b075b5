package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"
)

// waitInterval is the interval between status requests while waiting for a change to be applied.
const waitInterval = 100 * time.Millisecond

// errNotApplied is returned for a change that is stored, but not yet applied by all instances that must apply it.
type errNotApplied struct {
	revision uint64
	// instances holds the IDs of the instances that have not applied it; empty if they are not known.
	instances []string
}

// Error implements error.
func (e *errNotApplied) Error() string {
	if len(e.instances) == 0 {
		return fmt.Sprintf("revision %d is stored, but not yet active in most instances", e.revision)
	}
	return fmt.Sprintf("revision %d is stored, but not yet active in: %s", e.revision, strings.Join(e.instances, ", "))
}

// waitApplied waits until every instance has applied a revision, for at most the time given by --wait.
func (p *program) waitApplied(revision uint64) error {
	deadline := time.Now().Add(p.options.Wait)
	for {
		s, err := p.status()
		if err != nil {
			return err
		}
		behind := s.instancesBehind(revision)
		if len(behind) == 0 {
			fmt.Fprintf(os.Stderr, "mpctl: revision %d is active in all %d instances\n", revision, len(s.Members))
			return nil
		}
		if time.Now().After(deadline) {
			return &errNotApplied{revision: revision, instances: behind}
		}
		select {
		case <-time.After(waitInterval):
		case <-p.ctx.Done():
			return p.ctx.Err()
		}
	}
}

func (p *program) status() (status, error) {
	var s status
	raw, err := p.client().Status(p.ctx)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(raw, &s)
}

// instancesBehind returns the IDs of the instances that have not applied a revision.
func (s status) instancesBehind(revision uint64) []string {
	var ids []string
	for _, m := range s.Members {
		if m.Revision < revision {
			ids = append(ids, m.ID)
		}
	}
	return ids
}
