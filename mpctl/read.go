package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/services/configuration"
	"medlarpond.dev/mpctl/api"
)

const (
	// columnPadding is the space between the columns of a table.
	columnPadding = 2
	// watchRetryDelay is the delay before a broken watch is resumed.
	watchRetryDelay = time.Second
)

type nameArguments struct {
	Kind string `positional-arg-name:"KIND" required:"yes"`
	Name string `positional-arg-name:"NAME" required:"yes"`
}

type getCommand struct {
	program   *program
	Arguments struct {
		Kind string `positional-arg-name:"KIND" required:"yes"`
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes"`
}

// Execute prints one resource or all of a kind.
func (c *getCommand) Execute([]string) error {
	kind := resource.Kind(c.Arguments.Kind)
	if c.Arguments.Name != "" {
		r, err := c.program.client().Get(c.program.ctx, kind, c.Arguments.Name)
		if err != nil {
			return err
		}
		return c.program.print(r, func(w io.Writer) { resourceTable(w, []resource.Resource{r}) })
	}
	list, err := c.program.client().List(c.program.ctx, kind)
	if err != nil {
		return err
	}
	return c.program.print(list, func(w io.Writer) { resourceTable(w, list.Items) })
}

type historyCommand struct {
	program   *program
	Limit     int `long:"limit" default:"20" description:"number of changes"`
	Arguments struct {
		Kind string `positional-arg-name:"KIND"`
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes"`
}

// Execute prints past changes, newest first.
func (c *historyCommand) Execute([]string) error {
	kind := resource.Kind(c.Arguments.Kind)
	h, err := c.program.client().History(c.program.ctx, kind, c.Arguments.Name, c.Limit)
	if err != nil {
		return err
	}
	return c.program.print(h, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "REVISION\tTIME\tACTOR\tACTION\tKIND\tNAME\tREASON")
		for _, change := range h.Changes {
			changeRow(w, change)
		}
	})
}

type watchCommand struct {
	program   *program
	After     *uint64 `long:"after" description:"revision to start after (default: now)"`
	Arguments struct {
		Kind string `positional-arg-name:"KIND"`
	} `positional-args:"yes"`
}

// Execute prints changes as they are applied. It resumes a broken stream after the last revision received.
func (c *watchCommand) Execute([]string) error {
	position, err := c.startRevision()
	if err != nil {
		return err
	}
	for {
		err := c.program.client().Watch(c.program.ctx, position, resource.Kind(c.Arguments.Kind), func(e api.Event) error {
			position = e.Revision
			return c.printEvent(e)
		})
		var refused *api.ErrRefused
		if errors.As(err, &refused) {
			return err
		}
		fmt.Fprintln(os.Stderr, "mpctl: the watch was interrupted; resuming after revision", position)
		select {
		case <-time.After(watchRetryDelay):
		case <-c.program.ctx.Done():
			return nil
		}
	}
}

func (c *watchCommand) startRevision() (uint64, error) {
	if c.After != nil {
		return *c.After, nil
	}
	list, err := c.program.client().List(c.program.ctx, resource.KindRegion)
	return list.Revision, err
}

func (c *watchCommand) printEvent(e api.Event) error {
	if c.program.options.Output == "json" {
		return json.NewEncoder(os.Stdout).Encode(e)
	}
	if e.Change == nil {
		return nil
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, columnPadding, ' ', 0)
	changeRow(w, *e.Change)
	return w.Flush()
}

type statusCommand struct {
	program *program
}

type status struct {
	Members []struct {
		ID            string `json:"id"`
		Region        string `json:"region"`
		FailureDomain string `json:"failure-domain"`
		State         string `json:"state"`
		Revision      uint64 `json:"revision"`
		Confirmed     bool   `json:"confirmed"`
		Seat          bool   `json:"seat"`
	} `json:"members"`
	Revision         uint64 `json:"revision"`
	Applied          int    `json:"in-force"`
	Confirmed        bool   `json:"confirmed"`
	ConfirmedByPeers bool   `json:"in-contact"`
	// Store is the state of the store compared with the active configuration, such as current or unreachable.
	Store         string `json:"store"`
	PeersDiverged bool   `json:"peers-diverged"`
	Epoch         uint64 `json:"epoch"`
	OpenEpochs    int    `json:"open-epochs"`
}

// Execute prints the state of the fleet.
func (c *statusCommand) Execute([]string) error {
	raw, err := c.program.client().Status(c.program.ctx)
	if err != nil {
		return err
	}
	var s status
	if err := json.Unmarshal(raw, &s); err != nil {
		return err
	}
	return c.program.print(raw, s.print)
}

func (s status) print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "revision %d is active in %d of %d instances", s.Revision, s.Applied, len(s.Members))
	if behind := s.instancesBehind(s.Revision); len(behind) > 0 {
		_, _ = fmt.Fprintf(w, "; not active in: %s", strings.Join(behind, ", "))
	}
	_, _ = fmt.Fprintf(w, "\nstore: %s; majority of the seats reachable: %s; this instance is confirmed: %s; histories agree: %s\n",
		s.Store, yesNo(s.ConfirmedByPeers), yesNo(s.Confirmed), yesNo(!s.PeersDiverged))
	_, _ = fmt.Fprintf(w, "epoch %d; earlier epochs that have not ended: %d\n", s.Epoch, s.OpenEpochs)
	_, _ = fmt.Fprintln(w, "INSTANCE\tREGION\tFAILURE-DOMAIN\tSTATE\tREVISION\tCONFIRMED\tSEAT")
	for _, m := range s.Members {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%s\n",
			m.ID, m.Region, m.FailureDomain, m.State, m.Revision, yesNo(m.Confirmed), yesNo(m.Seat))
	}
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// print prints a value as JSON or, by calling table, as a table.
func (p *program) print(value any, table func(io.Writer)) error {
	if p.options.Output == "json" {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return e.Encode(value)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, columnPadding, ' ', 0)
	table(w)
	return w.Flush()
}

func resourceTable(w io.Writer, items []resource.Resource) {
	_, _ = fmt.Fprintln(w, "KIND\tNAME\tVERSION\tSPEC")
	for _, r := range items {
		spec, _ := json.Marshal(r.Spec)
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", r.Kind, r.Name, r.Version, spec)
	}
}

func changeRow(w io.Writer, c configuration.Change) {
	var kind, name string
	if c.Resource != nil {
		kind, name = string(c.Resource.Kind), c.Resource.Name
	}
	cells := []string{
		fmt.Sprint(c.Revision), c.Time.Format(time.RFC3339), c.Actor, string(c.Action), kind, name, c.Reason,
	}
	_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
}

// read returns a resource and whether it exists.
func (p *program) read(ctx context.Context, kind resource.Kind, name string) (resource.Resource, bool, error) {
	r, err := p.client().Get(ctx, kind, name)
	var refused *api.ErrRefused
	if errors.As(err, &refused) && refused.Reason == "not-found" {
		return resource.Resource{}, false, nil
	}
	return r, err == nil, err
}
