package main

import (
	"fmt"
	"io"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/mpctl/api"
)

type applyCommand struct {
	program *program
	File    string `short:"f" long:"file" required:"yes" description:"YAML file of resources, documents separated by ---; - reads standard input"`
	DryRun  bool   `long:"dry-run" description:"show what would change, and change nothing"`
}

// Execute creates or updates the resources of a file, or shows what that would change.
func (c *applyCommand) Execute([]string) error {
	content, err := readFile(c.File)
	if err != nil {
		return err
	}
	resources, err := api.DecodeResources(content)
	if err != nil {
		return err
	}
	if c.DryRun {
		return c.showPlan(resources)
	}
	author, err := c.program.author()
	if err != nil {
		return err
	}
	for i, r := range resources {
		if err := c.program.apply(author, r); err != nil {
			return fmt.Errorf("document %d of %d, %s %s: %w; %d done before it, %d not tried",
				i+1, len(resources), r.Kind, r.Name, err, i, len(resources)-i-1)
		}
	}
	return nil
}

func (c *applyCommand) showPlan(resources []resource.Resource) error {
	plans := make([]planned, 0, len(resources))
	for i, r := range resources {
		have, exists, err := c.program.read(c.program.ctx, r.Kind, r.Name)
		if err != nil {
			return fmt.Errorf("document %d of %d, %s %s: %w", i+1, len(resources), r.Kind, r.Name, err)
		}
		plans = append(plans, plan(have, exists, r))
	}
	return c.program.print(plans, func(w io.Writer) {
		for _, p := range plans {
			p.print(w)
		}
	})
}

// apply creates or updates one resource.
func (p *program) apply(author api.Author, r resource.Resource) error {
	have, exists, err := p.read(p.ctx, r.Kind, r.Name)
	if err != nil {
		return err
	}
	author = p.named(author)
	if !exists {
		accepted, err := p.client().Create(p.ctx, author, r)
		return p.accepted("created", accepted, err)
	}
	if r.Version == 0 {
		r.Version = have.Version
	}
	if planned := plan(have, true, r); planned.Action == planUnchanged {
		return p.print(planned, func(w io.Writer) {
			_, _ = fmt.Fprintf(w, "%s %s unchanged (version %d)\n", r.Kind, r.Name, have.Version)
		})
	}
	accepted, err := p.client().Update(p.ctx, author, r)
	return p.accepted("updated", accepted, err)
}
