// Package api speaks to the resource API of entry instances.
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
	// callTimeout bounds every call but a watch and a restoration.
	callTimeout = 10 * time.Second
	// restoreTimeout bounds a restoration.
	restoreTimeout = 70 * time.Second
	// resends is how often a write of unknown outcome is sent again, and resendPause the pause before.
	resends     = 2
	resendPause = time.Second
)

// Client calls one instance.
type Client struct {
	base string
	http *http.Client
}

// ErrRefused is an error answer of the API.
type ErrRefused struct {
	Status  int
	Reason  string `json:"reason"`
	Message string `json:"message"`
	NotRun  bool   `json:"not-run"`
}

// Error implements error.
func (e *ErrRefused) Error() string { return e.Message + " (" + e.Reason + ")" }

// List is a listing of resources at one revision.
type List struct {
	Revision uint64              `json:"revision"`
	Items    []resource.Resource `json:"items"`
}

// Accepted is the answer to an accepted write.
type Accepted struct {
	ID       string            `json:"id"`
	Revision uint64            `json:"revision"`
	Resource resource.Resource `json:"resource"`
	// Accepted is false while the change is stored, but not in force at most seats.
	Accepted bool `json:"accepted"`
	// NotInForce names the instances at which the change is not known to be in force.
	NotInForce []string `json:"not-in-force"`
}

// History is a list of changes, the newest first.
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

// Author names who makes a change, and why.
type Author struct {
	Actor  string
	Reason string
	// ID names the change, so that sending it again does not apply it twice.
	ID string
}

// New returns a client for an instance's operator address, given as a URL.
func New(base string) *Client { return &Client{base: base, http: &http.Client{}} }

// Get returns one resource.
func (c *Client) Get(ctx context.Context, kind resource.Kind, name string) (resource.Resource, error) {
	return call[resource.Resource](ctx, c, http.MethodGet, "/v1/resources/"+string(kind)+"/"+url.PathEscape(name), nil)
}

// List returns all resources of a kind.
func (c *Client) List(ctx context.Context, kind resource.Kind) (List, error) {
	return call[List](ctx, c, http.MethodGet, "/v1/resources/"+string(kind), nil)
}

type wireWrite struct {
	ID       string            `json:"id,omitempty"`
	Actor    string            `json:"actor"`
	Reason   string            `json:"reason"`
	Resource resource.Resource `json:"resource"`
}

// Create creates a resource.
func (c *Client) Create(ctx context.Context, a Author, r resource.Resource) (Accepted, error) {
	body := wireWrite{ID: a.ID, Actor: a.Actor, Reason: a.Reason, Resource: r}
	return write(ctx, c, http.MethodPost, "/v1/resources/"+string(r.Kind), body)
}

// Update replaces a resource whose version was read.
func (c *Client) Update(ctx context.Context, a Author, r resource.Resource) (Accepted, error) {
	body := wireWrite{ID: a.ID, Actor: a.Actor, Reason: a.Reason, Resource: r}
	return write(ctx, c, http.MethodPut, "/v1/resources/"+string(r.Kind)+"/"+url.PathEscape(r.Name), body)
}

// Delete deletes a resource whose version was read.
func (c *Client) Delete(ctx context.Context, a Author, r resource.Resource) (Accepted, error) {
	query := url.Values{
		"actor": {a.Actor}, "reason": {a.Reason}, "version": {strconv.FormatUint(r.Version, 10)},
	}
	if a.ID != "" {
		query.Set("id", a.ID)
	}
	path := "/v1/resources/" + string(r.Kind) + "/" + url.PathEscape(r.Name) + "?" + query.Encode()
	return write(ctx, c, http.MethodDelete, path, nil)
}

// History returns the latest changes; empty kind and name select all.
func (c *Client) History(ctx context.Context, kind resource.Kind, name string, limit int) (History, error) {
	query := url.Values{"kind": {string(kind)}, "name": {name}, "limit": {strconv.Itoa(limit)}}
	return call[History](ctx, c, http.MethodGet, "/v1/history?"+query.Encode(), nil)
}

// Status returns the status document of the instance.
func (c *Client) Status(ctx context.Context) (json.RawMessage, error) {
	return call[json.RawMessage](ctx, c, http.MethodGet, "/v1/status", nil)
}

// Watch calls the function for each event after a revision until the context ends, the function fails or the
// stream breaks.
func (c *Client) Watch(ctx context.Context, after uint64, kind resource.Kind, each func(Event) error) error {
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
		return refused(response)
	}
	d := json.NewDecoder(response.Body)
	for {
		var e Event
		if err := d.Decode(&e); err != nil {
			return err
		}
		if err := each(e); err != nil {
			return err
		}
	}
}

// Restored says what a restoration has put back; From and To are zero if nothing was missing.
type Restored struct {
	From     uint64 `json:"from"`
	To       uint64 `json:"to"`
	Replaced int    `json:"replaced"`
}

type wireAction struct {
	Actor               string `json:"actor"`
	Reason              string `json:"reason"`
	ReplaceOtherHistory bool   `json:"replace-other-history,omitempty"`
}

// Restore puts back into the store the changes in force that it lacks.
func (c *Client) Restore(ctx context.Context, a Author, replace bool) (Restored, error) {
	ctx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	body := wireAction{Actor: a.Actor, Reason: a.Reason, ReplaceOtherHistory: replace}
	return exchange[Restored](ctx, c, http.MethodPost, "/v1/restore", body)
}

// Gone says that the process of an instance has certainly ended.
func (c *Client) Gone(ctx context.Context, a Author, instance string) error {
	body := wireAction{Actor: a.Actor, Reason: a.Reason}
	_, err := call[struct{}](ctx, c, http.MethodPost, "/v1/members/"+url.PathEscape(instance)+"/gone", body)
	return err
}

// errFound ends a watch that has found what it looked for.
var errFound = errors.New("found")

// Change returns the change with the given revision.
func (c *Client) Change(ctx context.Context, revision uint64) (configuration.Change, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	missing := &ErrRefused{Status: http.StatusNotFound, Reason: "not-found", Message: fmt.Sprintf("no change has revision %d", revision)}
	list, err := c.List(ctx, resource.KindRegion)
	if err != nil {
		return configuration.Change{}, err
	}
	if revision == 0 || revision > list.Revision {
		return configuration.Change{}, missing
	}
	var found configuration.Change
	err = c.Watch(ctx, revision-1, "", func(e Event) error {
		if e.Change == nil || e.Revision != revision {
			return missing
		}
		found = *e.Change
		return errFound
	})
	if errors.Is(err, errFound) {
		return found, nil
	}
	return configuration.Change{}, err
}

// write sends a change and, if it does not learn of its outcome, sends it again under the same identifier.
func write(ctx context.Context, c *Client, method, path string, body any) (Accepted, error) {
	a, err := call[Accepted](ctx, c, method, path, body)
	for range resends {
		if err == nil || !isUnclear(err) {
			break
		}
		select {
		case <-time.After(resendPause):
		case <-ctx.Done():
			return a, err
		}
		a, err = call[Accepted](ctx, c, method, path, body)
	}
	return a, err
}

// isUnclear reports whether a write that failed so may have been applied.
func isUnclear(err error) bool {
	var refused *ErrRefused
	return !errors.As(err, &refused) || refused.Reason == "outcome-unknown"
}

func call[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return exchange[T](ctx, c, method, path, body)
}

// exchange makes a call that only the context bounds.
func exchange[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
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
		return result, refused(response)
	}
	err = json.NewDecoder(response.Body).Decode(&result)
	return result, err
}

func refused(response *http.Response) error {
	var wire struct {
		Error ErrRefused `json:"error"`
	}
	content, _ := io.ReadAll(response.Body)
	if err := json.Unmarshal(content, &wire); err != nil || wire.Error.Reason == "" {
		wire.Error = ErrRefused{Reason: "unexpected-answer", Message: fmt.Sprintf("status %d", response.StatusCode)}
	}
	wire.Error.Status = response.StatusCode
	return &wire.Error
}
