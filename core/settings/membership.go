package settings

import "time"

// Membership holds the condition for an instance to count as confirmed.
type Membership struct {
	// ConfirmTimeout is how long routes that need an API key are served after the last contact with the store or a majority
	// of instances.
	ConfirmTimeout time.Duration `yaml:"confirm-timeout"`
}

// maxConfirmTimeout keeps a revoked key from working for longer than 5 s, the documented bound.
const maxConfirmTimeout = 4 * time.Second

func defaultMembership() Membership { return Membership{ConfirmTimeout: 3 * time.Second} }

func (m Membership) check(c *checker) {
	c.require(m.ConfirmTimeout >= time.Second && m.ConfirmTimeout <= maxConfirmTimeout,
		"membership.confirm-timeout", "must be from 1s to 4s")
}
