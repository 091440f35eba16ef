package host

import (
	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
)

// NewCmdHost returns the host command with its subcommands.
func NewCmdHost(f *cmdutil.Factory) *cli.Command {
	return &cli.Command{
		Name:     "host",
		Usage:    "list and drain hosts",
		Commands: []*cli.Command{NewCmdList(f, nil), NewCmdDrain(f, nil)},
	}
}
