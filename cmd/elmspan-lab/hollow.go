package main

import (
	"os"

	"example.org/elmspan/lab/controlbench/hollow"
)

type hollowCmd struct{ hollow.Spec }

// Run measures hollow limiters.
func (c *hollowCmd) Run() error {
	r, err := hollow.Run(c.Spec)
	if r != nil {
		r.Write(os.Stdout)
	}
	return err
}
