package main

import (
	"context"
	"errors"
	"os"

	"example.org/elmspan/lab/controlbench"
)

// coreCmd measures the control plane.
type coreCmd struct {
	controlbench.Spec
	Program string `help:"The program whose processes are measured." default:"target/elmspan" type:"existingfile"`
	Dir     string `help:"${bench_dir}" placeholder:"DIR"`
}

// Run measures the control plane at a size.
func (c *coreCmd) Run(ctx context.Context) error {
	dir, err := folder(c.Dir)
	if err != nil {
		return err
	}
	r, err := controlbench.Run(ctx, c.Spec, []string{c.Program, "gateway"}, dir)
	if r == nil || len(r.Phases) == 0 {
		return err
	}
	return errors.Join(err, r.Write(os.Stdout)) // what was measured before it failed, too
}

// addedCmd measures the time that a gateway adds.
type addedCmd struct {
	controlbench.AddedSpec
	Program string `help:"The program whose processes are measured." default:"target/elmspan" type:"existingfile"`
	Dir     string `help:"${bench_dir}" placeholder:"DIR"`
}

// Run measures what a gateway adds to a request.
func (c *addedCmd) Run(ctx context.Context) error {
	dir, err := folder(c.Dir)
	if err != nil {
		return err
	}
	r, err := controlbench.Added(ctx, c.AddedSpec, []string{c.Program, "gateway"}, dir)
	if err != nil {
		return err
	}
	return r.Write(os.Stdout)
}

// folder returns the folder that is given, or a new one.
func folder(dir string) (string, error) {
	if dir != "" {
		return dir, nil
	}
	return os.MkdirTemp("", "elmspan-core-")
}
