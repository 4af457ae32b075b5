package main

type goneCommand struct {
	program   *program
	Arguments struct {
		Instance string `positional-arg-name:"INSTANCE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute says that the process of an instance has certainly ended.
func (c *goneCommand) Execute([]string) error {
	author, err := c.program.author()
	if err != nil {
		return err
	}
	return c.program.client().Gone(c.program.ctx, author, c.Arguments.Instance)
}
