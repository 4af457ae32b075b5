package settings

import "slices"

// Log holds the settings of the log.
type Log struct {
	// Level is the lowest level that is logged: debug, info, warn or error.
	Level string `yaml:"level"`
}

func (l Log) check(c *checker) {
	levels := []string{"debug", "info", "warn", "error"}
	c.require(slices.Contains(levels, l.Level), "log.level", "must be debug, info, warn or error")
}
