package service

import (
	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
)

// NewCmdService returns the service command with its subcommands.
func NewCmdService(f *cmdutil.Factory) *cli.Command {
	return &cli.Command{
		Name:     "service",
		Usage:    "list services",
		Commands: []*cli.Command{NewCmdList(f, nil)},
	}
}
