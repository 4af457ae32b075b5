package main

type goneCommand struct {
	program   *program
	Arguments struct {
		Instance string `positional-arg-name:"INSTANCE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute declares that the process of an instance has ended for certain.
func (c *goneCommand) Execute([]string) error {
	metadata, err := c.program.changeMetadata()
	if err != nil {
		return err
	}
	return c.program.client().MarkGone(c.program.ctx, metadata, c.Arguments.Instance)
}
