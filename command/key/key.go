package key

import (
	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
)

// NewCmdKey returns the key command with its subcommands.
func NewCmdKey(f *cmdutil.Factory) *cli.Command {
	return &cli.Command{
		Name:     "key",
		Usage:    "issue, withdraw and list callers' keys",
		Commands: []*cli.Command{NewCmdIssue(f, nil), NewCmdWithdraw(f, nil), NewCmdList(f, nil)},
	}
}
