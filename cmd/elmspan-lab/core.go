package main

import (
	"context"
	"os"

	"example.org/elmspan/coreload"
)

type coreCmd struct {
	coreload.Spec
	Program string `help:"The program whose processes are measured." default:"target/elmspan" type:"existingfile"`
	Dir     string `help:"Folder for settings, data and logs; a new one below the system's for such where left out." placeholder:"DIR"`
}

// Run measures the core at a size.
func (c *coreCmd) Run(ctx context.Context) error {
	dir := c.Dir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "elmspan-core-"); err != nil {
			return err
		}
	}
	r, err := coreload.Run(ctx, c.Spec, []string{c.Program, "gateway"}, dir)
	if err == nil {
		r.Write(os.Stdout)
	}
	return err
}
