package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"
)

// waitInterval is the pause between questions whether a change is in force.
const waitInterval = 100 * time.Millisecond

// errNotInForce is returned for a change that is stored, but not in force where it should be.
type errNotInForce struct {
	revision uint64
	// lacking names the instances; empty if they are not known.
	lacking []string
}

// Error implements error.
func (e *errNotInForce) Error() string {
	if len(e.lacking) == 0 {
		return fmt.Sprintf("revision %d is stored, but not in force at most instances yet", e.revision)
	}
	return fmt.Sprintf("revision %d is stored, but not in force yet in: %s", e.revision, strings.Join(e.lacking, ", "))
}

// waitInForce waits until a revision is in force in every instance.
func (p *program) waitInForce(revision uint64) error {
	deadline := time.Now().Add(p.options.Wait)
	for {
		s, err := p.status()
		if err != nil {
			return err
		}
		lacking := s.lacking(revision)
		if len(lacking) == 0 {
			fmt.Fprintf(os.Stderr, "mpctl: revision %d is in force in all %d instances\n", revision, len(s.Members))
			return nil
		}
		if time.Now().After(deadline) {
			return &errNotInForce{revision: revision, lacking: lacking}
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

// lacking names the instances at which a revision is not in force.
func (s status) lacking(revision uint64) []string {
	var names []string
	for _, m := range s.Members {
		if m.Revision < revision {
			names = append(names, m.ID)
		}
	}
	return names
}
