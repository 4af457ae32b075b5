package main

import (
	"encoding/json"
	"errors"
	"io"
	"os"

	"medlarpond.dev/bench/load"
)

type loadCommand struct {
	program *program
	File    string         `short:"f" long:"file" required:"yes" description:"plan in YAML, such as examples/load.yaml"`
	PIDs    map[string]int `long:"pid" description:"NAME:NUMBER of a process that the plan's faults name; repeat for several"`
	JSON    string         `long:"json" description:"file for the report in JSON"`
	Plot    string         `long:"plot" description:"file for a plot in SVG"`
}

// Execute runs the plan, writes the plot and JSON files, and prints the report.
func (c *loadCommand) Execute([]string) error {
	p, err := load.ReadPlan(c.File)
	if err != nil {
		return err
	}
	report, err := load.Run(c.program.ctx, p, load.Options{PIDs: c.PIDs})
	if err != nil {
		return err
	}
	err = errors.Join(
		writeFile(c.Plot, report.Plot),
		writeFile(c.JSON, func(w io.Writer) error {
			e := json.NewEncoder(w)
			e.SetIndent("", "  ")
			return e.Encode(report)
		}),
	)
	return errors.Join(err, c.program.print(report, report.Print))
}

// writeFile creates the file and calls write to fill it. An empty name does nothing.
func writeFile(name string, write func(io.Writer) error) error {
	if name == "" {
		return nil
	}
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	return errors.Join(write(file), file.Close())
}
