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

// Execute puts back into the store what it has lost.
func (c *restoreCommand) Execute([]string) error {
	author, err := c.program.author()
	if err != nil {
		return err
	}
	done, err := c.program.client().Restore(c.program.ctx, author, c.Replace)
	if err != nil {
		return err
	}
	return c.program.print(done, func(w io.Writer) { printRestored(w, done) })
}

func printRestored(w io.Writer, done api.Restored) {
	if done.To == 0 {
		_, _ = fmt.Fprintln(w, "the store lacked nothing")
		return
	}
	_, _ = fmt.Fprintf(w, "changes %d to %d put back; %d of another history replaced\n", done.From, done.To, done.Replaced)
}
