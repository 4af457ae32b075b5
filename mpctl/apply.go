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

// Execute creates or updates the resources of a file. With --dry-run it only prints the planned changes.
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
		return c.printPlan(resources)
	}
	metadata, err := c.program.changeMetadata()
	if err != nil {
		return err
	}
	for i, r := range resources {
		if err := c.program.apply(metadata, r); err != nil {
			return fmt.Errorf("document %d of %d, %s %s: %w; %d documents applied before it, %d not attempted",
				i+1, len(resources), r.Kind, r.Name, err, i, len(resources)-i-1)
		}
	}
	return nil
}

func (c *applyCommand) printPlan(resources []resource.Resource) error {
	plans := make([]plannedChange, 0, len(resources))
	for i, r := range resources {
		current, exists, err := c.program.read(c.program.ctx, r.Kind, r.Name)
		if err != nil {
			return fmt.Errorf("document %d of %d, %s %s: %w", i+1, len(resources), r.Kind, r.Name, err)
		}
		plans = append(plans, planChange(current, exists, r))
	}
	return c.program.print(plans, func(w io.Writer) {
		for _, p := range plans {
			p.print(w)
		}
	})
}

// apply creates a resource, or updates it if it exists and differs.
func (p *program) apply(metadata api.ChangeMetadata, r resource.Resource) error {
	current, exists, err := p.read(p.ctx, r.Kind, r.Name)
	if err != nil {
		return err
	}
	metadata = p.withChangeID(metadata)
	if !exists {
		result, err := p.client().Create(p.ctx, metadata, r)
		return p.printWriteResult("created", result, err)
	}
	if r.Version == 0 {
		r.Version = current.Version
	}
	if change := planChange(current, true, r); change.Action == planUnchanged {
		return p.print(change, func(w io.Writer) {
			_, _ = fmt.Fprintf(w, "%s %s unchanged (version %d)\n", r.Kind, r.Name, current.Version)
		})
	}
	result, err := p.client().Update(p.ctx, metadata, r)
	return p.printWriteResult("updated", result, err)
}
