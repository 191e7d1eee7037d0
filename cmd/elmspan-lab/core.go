package main

import (
	"context"
	"os"

	"example.org/elmspan/lab/controlbench"
)

type coreCmd struct {
	controlbench.Spec
	Program string `help:"The program whose processes are measured." default:"target/elmspan" type:"existingfile"`
	Dir     string `help:"Folder for settings, data and logs; a new one below the system's for such where left out." placeholder:"DIR"`
}

// Run measures the core at a size.
func (c *coreCmd) Run(ctx context.Context) error {
	dir, err := folder(c.Dir)
	if err != nil {
		return err
	}
	r, err := controlbench.Run(ctx, c.Spec, []string{c.Program, "gateway"}, dir)
	if r != nil && len(r.Phases) > 0 {
		r.Write(os.Stdout) // what was measured before it failed, too
	}
	return err
}

type addedCmd struct {
	controlbench.AddedSpec
	Program string `help:"The program whose processes are measured." default:"target/elmspan" type:"existingfile"`
	Dir     string `help:"Folder for settings, data and logs; a new one below the system's for such where left out." placeholder:"DIR"`
}

// Run measures what a gateway adds to a request.
func (c *addedCmd) Run(ctx context.Context) error {
	dir, err := folder(c.Dir)
	if err != nil {
		return err
	}
	r, err := controlbench.Added(ctx, c.AddedSpec, []string{c.Program, "gateway"}, dir)
	if err == nil {
		r.Write(os.Stdout)
	}
	return err
}

// folder is the one given, or a new one.
func folder(dir string) (string, error) {
	if dir != "" {
		return dir, nil
	}
	return os.MkdirTemp("", "elmspan-core-")
}
