package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"time"

	"example.org/elmspan/operators"
)

type operatorsCmd struct {
	Add    operatorsAdd    `cmd:"" help:"Name an operator, and print the token, which is shown this once."`
	Remove operatorsRemove `cmd:"" help:"Take an operator's token away."`
	List   operatorsList   `cmd:"" help:"List who may call the operator's interface."`
}

type operatorsAdd struct {
	File string        `arg:"" help:"${operatorsadd_file}"`
	Name string        `arg:"" help:"Of a person or a program: it stands in the log beside each change."`
	Role string        `help:"What it may do: read, or change as well." enum:"read,change" default:"read"`
	For  time.Duration `help:"How long the token holds, as 720h; without an end where left out."`
}

// Run adds one. A name that is there already is refused.
func (c *operatorsAdd) Run() error {
	list, err := operators.Load(c.File)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	var expires time.Time
	if c.For > 0 {
		expires = time.Now().Add(c.For).UTC().Truncate(time.Second)
	}
	o, token, err := operators.New(c.Name, operators.Role(c.Role), expires)
	if err != nil {
		return err
	}
	if err := operators.Save(c.File, append(list, o)); err != nil {
		return err
	}
	fmt.Println(token)
	fmt.Fprintf(os.Stderr, "%s may %s; copy %s to all machines\n", c.Name, c.Role, c.File)
	return nil
}

type operatorsRemove struct {
	File string `arg:"" help:"The file." type:"existingfile"`
	Name string `arg:"" help:"Who."`
}

// Run removes one.
func (c *operatorsRemove) Run() error {
	list, err := operators.Load(c.File)
	if err != nil {
		return err
	}
	left := slices.DeleteFunc(slices.Clone(list), func(o operators.Operator) bool { return o.Name == c.Name })
	if len(left) == len(list) {
		return fmt.Errorf("%s names no %s", c.File, c.Name)
	}
	return operators.Save(c.File, left)
}

type operatorsList struct {
	File string `arg:"" help:"The file." type:"existingfile"`
}

// Run lists them.
func (c *operatorsList) Run() error {
	list, err := operators.Load(c.File)
	if err != nil {
		return err
	}
	for _, o := range list {
		until := "no end"
		if !o.Expires.IsZero() {
			until = o.Expires.Format(time.RFC3339)
		}
		fmt.Printf("%-24s %-8s %s\n", o.Name, o.Role, until)
	}
	return nil
}
