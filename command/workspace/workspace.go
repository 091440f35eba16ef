package workspace

import (
	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
)

// NewCmdWorkspace returns the command with a subcommand for each verb.
func NewCmdWorkspace(f *cmdutil.Factory) *cli.Command {
	return &cli.Command{
		Name:     "workspace",
		Usage:    "list workspaces",
		Commands: []*cli.Command{NewCmdList(f, nil)},
	}
}
