package target

import (
	"context"
	"fmt"
	"io"
	"net/http"
)

// maxProbeBytes bounds how much of a probe's response body is read.
const maxProbeBytes = 64 << 10

// ErrUnhealthy is returned for a probe whose response has an error status.
type ErrUnhealthy struct {
	Status int
}

// Error implements error.
func (e *ErrUnhealthy) Error() string {
	return fmt.Sprintf("probe returned status %d", e.Status)
}

// Probe requests a target's health endpoint and returns nil if the response status is below 300.
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
