package main

import (
	"fmt"

	"medlarpond.dev/core/services/configuration"
	"medlarpond.dev/mpctl/api"
)

type rollbackCommand struct {
	program   *program
	Arguments struct {
		Revision uint64 `positional-arg-name:"REVISION" required:"yes"`
	} `positional-args:"yes"`
}

// Execute makes a new change that gives a resource the value that it had before an earlier change.
func (c *rollbackCommand) Execute([]string) error {
	metadata, err := c.program.changeMetadata()
	if err != nil {
		return err
	}
	change, err := c.program.client().Change(c.program.ctx, c.Arguments.Revision)
	if err != nil {
		return err
	}
	if change.Resource == nil {
		return &errUsage{message: fmt.Sprintf("change %d did not change a resource", c.Arguments.Revision)}
	}
	return c.program.restoreBefore(metadata, change)
}

// restoreBefore gives a resource the value that it had before a change, based on its current version.
func (p *program) restoreBefore(metadata api.ChangeMetadata, change configuration.Change) error {
	kind, name := change.Resource.Kind, change.Resource.Name
	current, exists, err := p.read(p.ctx, kind, name)
	if err != nil {
		return err
	}
	client, metadata := p.client(), p.withChangeID(metadata)
	switch before := change.Before; {
	case before == nil && !exists:
		return &errUsage{message: fmt.Sprintf("%s %s does not exist and did not exist before change %d either", kind, name, change.Revision)}
	case before == nil:
		result, err := client.Delete(p.ctx, metadata, current)
		return p.printWriteResult("deleted", result, err)
	case !exists:
		result, err := client.Create(p.ctx, metadata, before.WithVersion(0))
		return p.printWriteResult("created", result, err)
	case planChange(current, true, *before).Action == planUnchanged:
		return &errUsage{message: fmt.Sprintf("%s %s already has its value from before change %d", kind, name, change.Revision)}
	default:
		result, err := client.Update(p.ctx, metadata, before.WithVersion(current.Version))
		return p.printWriteResult("rolled back", result, err)
	}
}
