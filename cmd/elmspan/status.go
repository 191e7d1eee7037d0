package main

import (
	"fmt"
	"net/http"
	"os"
	"runtime/debug"
)

type statusCmd struct{ controlFlag }

// Run prints what a process says of itself.
func (c *statusCmd) Run() error {
	data, err := c.call(http.MethodGet, c.Control, "/v1/Status", nil, nil)
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(data)
	return err
}

type versionCmd struct{}

// Run prints how this program was built.
func (versionCmd) Run() error {
	_, err := fmt.Println("elmspan " + buildVersion())
	return err
}

// buildVersion is the revision that this program was built from and the compiler, as far as
// the build has noted them.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision, modified := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = " (modified)"
		}
	}
	return revision + modified + " " + info.GoVersion
}
