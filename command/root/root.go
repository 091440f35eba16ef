package root

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
	"cardamomward/command/demo"
	"cardamomward/command/key"
	"cardamomward/command/serve"
	"cardamomward/command/settings"
	"cardamomward/command/standin"
)

// NewCmdRoot returns the command line.
func NewCmdRoot(f *cmdutil.Factory) *cli.Command {
	return &cli.Command{
		Name:      "cardamomward",
		Usage:     "schedule the model and service calls of agent programs",
		Writer:    f.IOStreams.Out,
		ErrWriter: f.IOStreams.Err,
		Commands: []*cli.Command{
			demo.NewCmdDemo(f, nil),
			serve.NewCmdServe(f, nil),
			standin.NewCmdStandin(f),
			settings.NewCmdSettings(f),
			key.NewCmdKey(f),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

// Main runs the command line and returns the exit code of the process.
func Main(f *cmdutil.Factory, args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT)
	defer stop()
	err := NewCmdRoot(f).Run(ctx, args)
	if err != nil {
		fmt.Fprintln(f.IOStreams.Err, "cardamomward:", err)
	}

	return int(cmdutil.CodeOf(err))
}
