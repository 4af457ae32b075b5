// Package api is a client for the resource API of entry instances.
package api

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/services/configuration"
)

const (
	// callTimeout is the timeout of every call except Watch and Restore.
	callTimeout = 10 * time.Second
	// restoreTimeout is the timeout of Restore.
	restoreTimeout = 70 * time.Second
	// maxRetries is how often a write with an unknown outcome is sent again, and retryDelay the delay before each retry.
	maxRetries = 2
	retryDelay = time.Second
)

// Client calls the resource API of one instance. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// ErrRefused is an error response of the API.
type ErrRefused struct {
	Status  int
	Reason  string `json:"reason"`
	Message string `json:"message"`
	NotRun  bool   `json:"not-run"`
}

// Error implements error.
func (e *ErrRefused) Error() string { return e.Message + " (" + e.Reason + ")" }

// ResourceList holds resources as of one revision.
type ResourceList struct {
	Revision uint64              `json:"revision"`
	Items    []resource.Resource `json:"items"`
}

// WriteResult is the response to a write that was stored.
type WriteResult struct {
	ID       string            `json:"id"`
	Revision uint64            `json:"revision"`
	Resource resource.Resource `json:"resource"`
	// Accepted is false while the change is stored, but not applied by a majority of the seats.
	Accepted bool `json:"accepted"`
	// NotApplied holds the IDs of the instances that are not known to have applied the change.
	NotApplied []string `json:"not-in-force"`
}

// History is a list of changes, newest first.
type History struct {
	Revision uint64                 `json:"revision"`
	Changes  []configuration.Change `json:"changes"`
}

// Event is one line of a watch.
type Event struct {
	Type     string                `json:"type"`
	Revision uint64                `json:"revision"`
	Change   *configuration.Change `json:"change,omitempty"`
}

// ChangeMetadata describes a change: who makes it, why, and its ID.
type ChangeMetadata struct {
	Actor  string
	Reason string
	// ID identifies the change, so that sending it again does not apply it twice. May be empty.
	ID string
}

// New returns a client for an instance. The argument is the URL of its operator address.
func New(base string) *Client { return &Client{base: base, http: &http.Client{}} }

// Get returns one resource.
func (c *Client) Get(ctx context.Context, kind resource.Kind, name string) (resource.Resource, error) {
	return call[resource.Resource](ctx, c, http.MethodGet, "/v1/resources/"+string(kind)+"/"+url.PathEscape(name), nil)
}

// List returns all resources of a kind.
func (c *Client) List(ctx context.Context, kind resource.Kind) (ResourceList, error) {
	return call[ResourceList](ctx, c, http.MethodGet, "/v1/resources/"+string(kind), nil)
}

type writeRequest struct {
	ID       string            `json:"id,omitempty"`
	Actor    string            `json:"actor"`
	Reason   string            `json:"reason"`
	Resource resource.Resource `json:"resource"`
}

// Create creates a resource.
func (c *Client) Create(ctx context.Context, metadata ChangeMetadata, r resource.Resource) (WriteResult, error) {
	body := writeRequest{ID: metadata.ID, Actor: metadata.Actor, Reason: metadata.Reason, Resource: r}
	return write(ctx, c, http.MethodPost, "/v1/resources/"+string(r.Kind), body)
}

// Update replaces a resource. The resource holds the version that the change is based on.
func (c *Client) Update(ctx context.Context, metadata ChangeMetadata, r resource.Resource) (WriteResult, error) {
	body := writeRequest{ID: metadata.ID, Actor: metadata.Actor, Reason: metadata.Reason, Resource: r}
	return write(ctx, c, http.MethodPut, "/v1/resources/"+string(r.Kind)+"/"+url.PathEscape(r.Name), body)
}

// Delete deletes a resource. The resource holds the version that the change is based on.
func (c *Client) Delete(ctx context.Context, metadata ChangeMetadata, r resource.Resource) (WriteResult, error) {
	query := url.Values{
		"actor": {metadata.Actor}, "reason": {metadata.Reason}, "version": {strconv.FormatUint(r.Version, 10)},
	}
	if metadata.ID != "" {
		query.Set("id", metadata.ID)
	}
	path := "/v1/resources/" + string(r.Kind) + "/" + url.PathEscape(r.Name) + "?" + query.Encode()
	return write(ctx, c, http.MethodDelete, path, nil)
}

// History returns up to limit of the latest changes. An empty kind or name matches all.
func (c *Client) History(ctx context.Context, kind resource.Kind, name string, limit int) (History, error) {
	query := url.Values{"kind": {string(kind)}, "name": {name}, "limit": {strconv.Itoa(limit)}}
	return call[History](ctx, c, http.MethodGet, "/v1/history?"+query.Encode(), nil)
}

// Status returns the status document of the instance.
func (c *Client) Status(ctx context.Context) (json.RawMessage, error) {
	return call[json.RawMessage](ctx, c, http.MethodGet, "/v1/status", nil)
}

// Watch calls handle for each event after a revision until the context ends, handle returns an error or the stream
// breaks. It always returns an error. An empty kind matches all.
func (c *Client) Watch(ctx context.Context, after uint64, kind resource.Kind, handle func(Event) error) error {
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "kind": {string(kind)}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/watch?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return responseError(response)
	}
	d := json.NewDecoder(response.Body)
	for {
		var e Event
		if err := d.Decode(&e); err != nil {
			return err
		}
		if err := handle(e); err != nil {
			return err
		}
	}
}

// RestoreResult holds the first and last revision that Restore wrote to the store, both zero if none was missing, and the
// number of replaced changes.
type RestoreResult struct {
	From     uint64 `json:"from"`
	To       uint64 `json:"to"`
	Replaced int    `json:"replaced"`
}

type actionRequest struct {
	Actor               string `json:"actor"`
	Reason              string `json:"reason"`
	ReplaceOtherHistory bool   `json:"replace-other-history,omitempty"`
}

// Restore writes the active changes that the store lacks back into it. With replace set, it also replaces changes of
// another history.
func (c *Client) Restore(ctx context.Context, metadata ChangeMetadata, replace bool) (RestoreResult, error) {
	ctx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	body := actionRequest{Actor: metadata.Actor, Reason: metadata.Reason, ReplaceOtherHistory: replace}
	return do[RestoreResult](ctx, c, http.MethodPost, "/v1/restore", body)
}

// MarkGone declares that the process of an instance has ended for certain.
func (c *Client) MarkGone(ctx context.Context, metadata ChangeMetadata, instance string) error {
	body := actionRequest{Actor: metadata.Actor, Reason: metadata.Reason}
	_, err := call[struct{}](ctx, c, http.MethodPost, "/v1/members/"+url.PathEscape(instance)+"/gone", body)
	return err
}

// errStopWatch is returned by the callback of a watch to end it.
var errStopWatch = errors.New("found")

// Change returns the change with the given revision, or an ErrRefused with the reason not-found.
func (c *Client) Change(ctx context.Context, revision uint64) (configuration.Change, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	notFound := &ErrRefused{Status: http.StatusNotFound, Reason: "not-found", Message: fmt.Sprintf("no change has revision %d", revision)}
	list, err := c.List(ctx, resource.KindRegion)
	if err != nil {
		return configuration.Change{}, err
	}
	if revision == 0 || revision > list.Revision {
		return configuration.Change{}, notFound
	}
	var found configuration.Change
	err = c.Watch(ctx, revision-1, "", func(e Event) error {
		if e.Change == nil || e.Revision != revision {
			return notFound
		}
		found = *e.Change
		return errStopWatch
	})
	if errors.Is(err, errStopWatch) {
		return found, nil
	}
	return configuration.Change{}, err
}

// write sends a change. If the outcome is unknown, it retries with the same change ID.
func write(ctx context.Context, c *Client, method, path string, body any) (WriteResult, error) {
	result, err := call[WriteResult](ctx, c, method, path, body)
	for range maxRetries {
		if err == nil || !isOutcomeUnknown(err) {
			break
		}
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
			return result, err
		}
		result, err = call[WriteResult](ctx, c, method, path, body)
	}
	return result, err
}

// isOutcomeUnknown reports whether a write that failed with this error may have been applied.
func isOutcomeUnknown(err error) bool {
	var refused *ErrRefused
	return !errors.As(err, &refused) || refused.Reason == "outcome-unknown"
}

func call[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return do[T](ctx, c, method, path, body)
}

// do sends a request and decodes the response. Only the context limits its duration.
func do[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	var result T
	content, err := json.Marshal(body)
	if err != nil {
		return result, err
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(content))
	if err != nil {
		return result, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return result, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		return result, responseError(response)
	}
	err = json.NewDecoder(response.Body).Decode(&result)
	return result, err
}

func responseError(response *http.Response) error {
	var wire struct {
		Error ErrRefused `json:"error"`
	}
	content, _ := io.ReadAll(response.Body)
	if err := json.Unmarshal(content, &wire); err != nil || wire.Error.Reason == "" {
		wire.Error = ErrRefused{Reason: "unexpected-answer", Message: fmt.Sprintf("unexpected response with status %d", response.StatusCode)}
	}
	wire.Error.Status = response.StatusCode
	return &wire.Error
}
