// Package api speaks to the resource API of entry instances.
package api

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/services/configuration"
)

// callTimeout bounds every call but a watch.
const callTimeout = 10 * time.Second

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
	Actor    string            `json:"actor"`
	Reason   string            `json:"reason"`
	Resource resource.Resource `json:"resource"`
}

// Create creates a resource.
func (c *Client) Create(ctx context.Context, a Author, r resource.Resource) (Accepted, error) {
	body := wireWrite{Actor: a.Actor, Reason: a.Reason, Resource: r}
	return call[Accepted](ctx, c, http.MethodPost, "/v1/resources/"+string(r.Kind), body)
}

// Update replaces a resource whose version was read.
func (c *Client) Update(ctx context.Context, a Author, r resource.Resource) (Accepted, error) {
	body := wireWrite{Actor: a.Actor, Reason: a.Reason, Resource: r}
	return call[Accepted](ctx, c, http.MethodPut, "/v1/resources/"+string(r.Kind)+"/"+url.PathEscape(r.Name), body)
}

// Delete deletes a resource whose version was read.
func (c *Client) Delete(ctx context.Context, a Author, r resource.Resource) (Accepted, error) {
	query := url.Values{
		"actor": {a.Actor}, "reason": {a.Reason}, "version": {strconv.FormatUint(r.Version, 10)},
	}
	path := "/v1/resources/" + string(r.Kind) + "/" + url.PathEscape(r.Name) + "?" + query.Encode()
	return call[Accepted](ctx, c, http.MethodDelete, path, nil)
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

func call[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	var result T
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
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
