package main

import (
	"io"

	"medlarpond.dev/bench/slopes"
)

type slopesCommand struct {
	program   *program
	Instances []int `long:"instances" default:"3" default:"7" default:"15" default:"30" description:"number of instances; repeat for several"`
	Changes   int   `long:"changes" default:"10" description:"changes that each fleet gets"`
	Runs      int   `long:"runs" default:"1" description:"how often each number of instances is measured"`
}

// Execute runs the measurements and prints the costs.
func (c *slopesCommand) Execute([]string) error {
	results, err := slopes.Run(c.program.ctx, slopes.Settings{Instances: c.Instances, Changes: c.Changes, Runs: c.Runs})
	if err != nil {
		return err
	}
	return c.program.print(results, func(w io.Writer) { slopes.Print(w, results) })
}
