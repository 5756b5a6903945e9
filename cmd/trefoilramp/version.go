package main

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

// versionCommand prints the version of the program:
//
//	trefoilramp version
func versionCommand() *cli.Command {
	return &cli.Command{
		Name: "version", Usage: "print the version of the program", Flags: []cli.Flag{jsonFlag()},
		OnUsageError: usageError, Action: printVersion,
	}
}

// buildVersion is the build information that the Go toolchain embeds in the program.
type buildVersion struct {
	Version  string
	Revision string `json:",omitempty"`
	Modified bool   `json:",omitempty"`
	Go       string
}

func printVersion(_ context.Context, c *cli.Command) error {
	if err := checkArgs(c, ""); err != nil {
		return err
	}
	var v buildVersion
	if info, ok := debug.ReadBuildInfo(); ok {
		v.Version, v.Go = info.Main.Version, info.GoVersion
		for _, s := range info.Settings {
			switch s.Key {
			case "vcs.revision":
				v.Revision = s.Value
			case "vcs.modified":
				v.Modified = s.Value == "true"
			}
		}
	}
	if c.Bool("json") {
		return withExitCode(printJSON(out(c), v))
	}
	fmt.Fprintf(out(c), "trefoilramp %s, revision %s, %s\n", v.Version, v.Revision, v.Go)
	return nil
}
