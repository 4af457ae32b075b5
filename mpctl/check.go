package main

import (
	"errors"
	"fmt"
	"io"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/mpctl/check"
)

const checkHelp = `Checks the resources of a YAML file, or of standard input (-), before they are
applied. Nothing is changed. It reports

- errors: values that the instances would refuse, with file, line and field;
- resources that never take effect: a route whose requests use another one, a
  team without a route, a region without targets, a target that may not serve;
- limits that contradict each other;
- what differs from the version in force, and what that would do to traffic.

What is in force is read from --server. With --offline the file is checked by
itself, as if nothing were in force.

Exit codes: 0 no findings, 1 findings, 2 the file or what is in force cannot be
read.

Examples:
  mpctl check intents.yaml
  mpctl check --offline intents.yaml -o json`

type checkCommand struct {
	program   *program
	Offline   bool `long:"offline" description:"check the file by itself, without what is in force"`
	Arguments struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// errUnreadable is returned if something cannot be read that is needed for a check.
type errUnreadable struct {
	cause error
}

// Error implements error.
func (e *errUnreadable) Error() string { return "cannot check: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *errUnreadable) Unwrap() error { return e.cause }

// errFindings is returned if a check has findings, which are printed already.
type errFindings struct {
	count int
}

// Error implements error.
func (e *errFindings) Error() string {
	if e.count == 1 {
		return "1 finding"
	}
	return fmt.Sprintf("%d findings", e.count)
}

// checkedChange is a planned change with what it would do to traffic.
type checkedChange struct {
	plannedChange
	Line    int      `json:"line"`
	Effects []string `json:"effects,omitempty"`
}

// checkResult is the output of a check.
type checkResult struct {
	Findings []check.Finding `json:"findings"`
	Changes  []checkedChange `json:"changes"`
}

// Execute checks a file and prints the findings and changes.
func (c *checkCommand) Execute([]string) error {
	content, err := readFile(c.Arguments.File)
	if err != nil {
		return &errUnreadable{cause: err}
	}
	var inForce []resource.Resource
	if !c.Offline {
		if inForce, err = c.program.readAll(); err != nil {
			return &errUnreadable{cause: err}
		}
	}
	result, err := checkFile(c.Arguments.File, content, inForce)
	if err != nil {
		return err
	}
	if err := c.program.print(result, result.print); err != nil {
		return err
	}
	if len(result.Findings) > 0 {
		return &errFindings{count: len(result.Findings)}
	}
	return nil
}

// readAll returns all resources in force.
func (p *program) readAll() ([]resource.Resource, error) {
	var all []resource.Resource
	for _, kind := range resource.Kinds() {
		list, err := p.client().List(p.ctx, kind)
		if err != nil {
			return nil, err
		}
		all = append(all, list.Items...)
	}
	return all, nil
}

func checkFile(file string, content []byte, inForce []resource.Resource) (checkResult, error) {
	report, err := check.Run(file, content, inForce)
	var unreadable *check.ErrUnreadable
	if errors.As(err, &unreadable) {
		return checkResult{}, &errUnreadable{cause: err}
	}
	if err != nil {
		return checkResult{}, err
	}
	result := checkResult{Findings: append([]check.Finding{}, report.Findings...), Changes: []checkedChange{}}
	for _, d := range report.Documents {
		current, exists := report.Before.Get(d.Kind, d.Name)
		if change := planChange(current, exists, d.Resource); change.Action != planUnchanged {
			result.Changes = append(result.Changes, checkedChange{plannedChange: change, Line: d.Line, Effects: report.Effects(d)})
		}
	}
	return result, nil
}

func (r checkResult) print(w io.Writer) {
	for _, f := range r.Findings {
		_, _ = fmt.Fprintln(w, f)
	}
	if len(r.Findings) > 0 {
		_, _ = fmt.Fprintln(w)
	}
	for _, c := range r.Changes {
		c.print(w)
		for _, effect := range c.Effects {
			_, _ = fmt.Fprintln(w, "  = "+effect)
		}
	}
	if len(r.Changes) == 0 {
		_, _ = fmt.Fprintln(w, "nothing differs from what is in force")
	}
}
