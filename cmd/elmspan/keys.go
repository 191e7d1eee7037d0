package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"example.org/elmspan/keys"
	"example.org/elmspan/settings"
)

type keysCmd struct {
	Init   keysInit   `cmd:"" help:"${keyscmd_init}"`
	Issue  keysIssue  `cmd:"" help:"${keyscmd_issue}"`
	Rotate keysRotate `cmd:"" help:"${keyscmd_rotate}"`
}

type keysInit struct {
	Dir string `arg:"" help:"The authority's folder."`
}

// Run makes the authority.
func (c *keysInit) Run() error {
	if err := keys.InitAuthority(c.Dir, time.Now()); err != nil {
		return err
	}
	fmt.Println("made an authority in", c.Dir)
	return nil
}

type keysIssue struct {
	Dir  string `arg:"" help:"The authority's folder." type:"existingdir"`
	Name string `arg:"" help:"The machine's node_name."`
	IP   net.IP `help:"The machine's address." required:""`
	Days int    `help:"How long the certificate holds." default:"90"`
	Out  string `help:"The machine's folder; in the authority's, by its name, where left out." placeholder:"DIR"`
}

// Run writes the machine's folder.
func (c *keysIssue) Run() error {
	if c.Out == "" {
		c.Out = filepath.Join(c.Dir, "machines", c.Name)
	}
	if err := keys.Issue(c.Dir, c.Out, c.Name, c.IP, c.Days, time.Now()); err != nil {
		return err
	}
	fmt.Println("wrote", c.Out)
	return nil
}

type keysRotate struct {
	Dir string `arg:"" help:"The authority's folder." type:"existingdir"`
}

// Run takes the change one stage on.
func (c *keysRotate) Run() error {
	stage, err := keys.Rotate(c.Dir, time.Now())
	if err != nil {
		return err
	}
	next := "issue every machine's folder anew, have all of them read it, then rotate again"
	if stage == keys.StageDropped {
		next = "issue every machine's folder anew: the change is through"
	}
	fmt.Printf("new keys: %s. Now %s.\n", stage, next)
	return nil
}

type referenceCmd struct{}

// Run prints the page.
func (referenceCmd) Run() error { return settings.WriteReference(os.Stdout) }
