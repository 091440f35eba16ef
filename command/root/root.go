package root

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
	"cardamomward/command/demo"
	"cardamomward/command/dev"
	"cardamomward/command/dump"
	"cardamomward/command/explain"
	"cardamomward/command/gateway"
	"cardamomward/command/host"
	"cardamomward/command/key"
	"cardamomward/command/load"
	"cardamomward/command/program"
	"cardamomward/command/serve"
	"cardamomward/command/service"
	"cardamomward/command/settings"
	"cardamomward/command/soak"
	"cardamomward/command/standin"
	"cardamomward/command/status"
	"cardamomward/command/workspace"
)

// NewCmdRoot returns the root command with all commands.
func NewCmdRoot(f *cmdutil.Factory) *cli.Command {
	root := &cli.Command{
		Name:      "cardamomward",
		Usage:     "schedule the model and service calls of agent programs",
		Writer:    f.IOStreams.Out,
		ErrWriter: f.IOStreams.Err,
		Commands: []*cli.Command{
			demo.NewCmdDemo(f, nil),
			dev.NewCmdDev(f, nil),
			serve.NewCmdServe(f, nil),
			gateway.NewCmdGateway(f, nil),
			standin.NewCmdStandin(f),
			settings.NewCmdSettings(f),
			workspace.NewCmdWorkspace(f),
			service.NewCmdService(f),
			key.NewCmdKey(f),
			program.NewCmdProgram(f),
			host.NewCmdHost(f),
			status.NewCmdStatus(f, nil),
			dump.NewCmdDump(f, nil),
			explain.NewCmdExplain(f, nil),
			load.NewCmdLoad(f, nil),
			soak.NewCmdSoak(f, nil),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	setUsageErrorHandlers(root)

	return root
}

// setUsageErrorHandlers makes a command and its subcommands return a UsageError for unknown commands, invalid flags and
// invalid operator addresses.
func setUsageErrorHandlers(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, cmd *cli.Command, err error, _ bool) error {
		return cmdutil.NewUsageError("%v; see %s --help", err, cmd.FullName())
	}
	if len(cmd.Commands) == 0 {
		before := cmd.Before
		cmd.Before = func(ctx context.Context, cmd *cli.Command) (context.Context, error) {
			if err := cmdutil.ValidateOperatorAddress(cmd); err != nil || before == nil {
				return ctx, err
			}

			return before(ctx, cmd)
		}

		return
	}
	if cmd.Action == nil {
		cmd.Action = func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return cmdutil.NewUsageError("there is no command %q; see %s --help", cmd.Args().First(), cmd.FullName())
			}

			return cli.ShowSubcommandHelp(cmd)
		}
	}
	for _, sub := range cmd.Commands {
		setUsageErrorHandlers(sub)
	}
}

// Main runs the command line, prints its error, and returns the exit code of the process.
func Main(f *cmdutil.Factory, args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT)
	defer stop()
	err := NewCmdRoot(f).Run(ctx, args)
	if err != nil {
		fmt.Fprintln(f.IOStreams.Err, "cardamomward:", err)
		if hint := cmdutil.Hint(err); hint != "" {
			fmt.Fprintln(f.IOStreams.Err, hint)
		}
	}

	return int(cmdutil.ExitCodeFor(err))
}
