package main

import (
	"fmt"
	"io"

	"medlarpond.dev/mpctl/api"
)

type restoreCommand struct {
	program *program
	Replace bool `long:"replace-other-history" description:"replace changes that the store holds in the place of those in force; what they decided is lost"`
}

// Execute writes the active changes that the store has lost back into it.
func (c *restoreCommand) Execute([]string) error {
	metadata, err := c.program.changeMetadata()
	if err != nil {
		return err
	}
	result, err := c.program.client().Restore(c.program.ctx, metadata, c.Replace)
	if err != nil {
		return err
	}
	return c.program.print(result, func(w io.Writer) { printRestoreResult(w, result) })
}

func printRestoreResult(w io.Writer, result api.RestoreResult) {
	if result.To == 0 {
		_, _ = fmt.Fprintln(w, "the store has all changes; nothing was restored")
		return
	}
	_, _ = fmt.Fprintf(w, "changes %d to %d restored; %d changes of another history replaced\n", result.From, result.To, result.Replaced)
}
