package settings

import (
	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
)

// NewCmdSettings returns the settings command with its subcommands.
func NewCmdSettings(f *cmdutil.Factory) *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: "check, publish and show the fleet's settings",
		Commands: []*cli.Command{
			NewCmdCheck(f, nil), NewCmdPublish(f, nil), NewCmdShow(f, nil), NewCmdHistory(f, nil), NewCmdSchema(f, nil),
		},
	}
}
