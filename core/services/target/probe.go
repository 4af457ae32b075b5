package target

import (
	"context"
	"fmt"
	"io"
	"net/http"
)

// maxProbeBytes bounds what is read of the answer to a probe.
const maxProbeBytes = 64 << 10

// ErrUnhealthy is returned for a probe that was answered with an error status.
type ErrUnhealthy struct {
	Status int
}

// Error implements error.
func (e *ErrUnhealthy) Error() string {
	return fmt.Sprintf("the probe was answered with status %d", e.Status)
}

// Probe asks a target's health endpoint and returns nil if it answers with a status below 300.
func (s *Sender) Probe(ctx context.Context, address, path string) error {
	response, err := s.Send(ctx, Attempt{
		Address: address, Method: http.MethodGet, URI: path, Host: address, Header: http.Header{}, Idempotent: true,
	})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBytes)); err != nil {
		return err
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return &ErrUnhealthy{Status: response.StatusCode}
	}
	return nil
}
