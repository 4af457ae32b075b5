package settings

import "regexp"

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Instance holds the identity and the location of the instance.
type Instance struct {
	// ID is unique among the instances that run at the same time.
	ID string `yaml:"id"`
	// Region and FailureDomain are the location of the instance.
	Region        string `yaml:"region"`
	FailureDomain string `yaml:"failure-domain"`
}

func (i Instance) check(c *checker) {
	const fix = "is missing or impossible; use 1 to 63 lower-case letters, digits and hyphens"
	c.require(namePattern.MatchString(i.ID), "instance.id", fix)
	c.require(namePattern.MatchString(i.Region), "instance.region", fix)
	c.require(namePattern.MatchString(i.FailureDomain), "instance.failure-domain", fix)
}
