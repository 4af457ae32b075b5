package settings

import "slices"

// Log says what is logged.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `yaml:"level"`
}

func (l Log) check(c *checker) {
	levels := []string{"debug", "info", "warn", "error"}
	c.require(slices.Contains(levels, l.Level), "log.level", "must be debug, info, warn or error")
}
