package workspace

import (
	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
)

// NewCmdWorkspace returns the workspace command with its subcommands.
func NewCmdWorkspace(f *cmdutil.Factory) *cli.Command {
	return &cli.Command{
		Name:     "workspace",
		Usage:    "list workspaces",
		Commands: []*cli.Command{NewCmdList(f, nil)},
	}
}
