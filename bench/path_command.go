package main

import (
	"errors"
	"io"
	"os"
	"runtime"
	"runtime/pprof"
	"time"

	"medlarpond.dev/bench/path"
)

type pathCommand struct {
	program  *program
	Callers  []int         `long:"callers" default:"1" default:"16" default:"64" description:"requests that run at once; repeat for several measurements"`
	Duration time.Duration `long:"duration" default:"3s" description:"time of each measurement on either way"`
	Work     time.Duration `long:"work" default:"0s" description:"how long the target works on a request"`
	Profile  string        `long:"profile" description:"file for a processor profile of the measurements"`
	Allocs   string        `long:"allocations-profile" description:"file for a profile of allocations; slows the measurements down"`
}

// allocationSampleBytes is the mean number of allocated bytes between two allocations that the allocation profile records.
const allocationSampleBytes = 4 << 10

// Execute runs the measurements, writes the requested profiles and prints the comparison.
func (c *pathCommand) Execute([]string) error {
	if c.Allocs != "" {
		runtime.MemProfileRate = allocationSampleBytes
	}
	profile, err := c.openProfile()
	if err != nil {
		return err
	}
	s := path.Settings{Callers: c.Callers, Duration: c.Duration, ProcessingTime: c.Work}
	results, err := path.Run(c.program.ctx, s, func() error {
		if profile == nil {
			return nil
		}
		return pprof.StartCPUProfile(profile)
	})
	if profile != nil {
		pprof.StopCPUProfile()
		err = errors.Join(err, profile.Close())
	}
	if err != nil {
		return err
	}
	if err := c.writeAllocations(); err != nil {
		return err
	}
	return c.program.print(results, func(w io.Writer) { path.Print(w, results) })
}

func (c *pathCommand) writeAllocations() error {
	if c.Allocs == "" {
		return nil
	}
	file, err := os.Create(c.Allocs)
	if err != nil {
		return err
	}
	return errors.Join(pprof.Lookup("allocs").WriteTo(file, 0), file.Close())
}

func (c *pathCommand) openProfile() (*os.File, error) {
	if c.Profile == "" {
		return nil, nil
	}
	return os.Create(c.Profile)
}
