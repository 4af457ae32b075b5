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
	author, err := c.program.author()
	if err != nil {
		return err
	}
	change, err := c.program.client().Change(c.program.ctx, c.Arguments.Revision)
	if err != nil {
		return err
	}
	if change.Resource == nil {
		return &errUsage{message: fmt.Sprintf("change %d changed nothing", c.Arguments.Revision)}
	}
	return c.program.restoreBefore(author, change)
}

// restoreBefore writes the value from before a change on the version in force.
func (p *program) restoreBefore(author api.Author, change configuration.Change) error {
	kind, name := change.Resource.Kind, change.Resource.Name
	have, exists, err := p.read(p.ctx, kind, name)
	if err != nil {
		return err
	}
	client, author := p.client(), p.named(author)
	switch before := change.Before; {
	case before == nil && !exists:
		return &errUsage{message: fmt.Sprintf("%s %s does not exist, as before change %d", kind, name, change.Revision)}
	case before == nil:
		accepted, err := client.Delete(p.ctx, author, have)
		return p.accepted("deleted", accepted, err)
	case !exists:
		accepted, err := client.Create(p.ctx, author, before.WithVersion(0))
		return p.accepted("created", accepted, err)
	case plan(have, true, *before).Action == planUnchanged:
		return &errUsage{message: fmt.Sprintf("%s %s has the value from before change %d already", kind, name, change.Revision)}
	default:
		accepted, err := client.Update(p.ctx, author, before.WithVersion(have.Version))
		return p.accepted("rolled back", accepted, err)
	}
}
