package status

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
	"cardamomward/io/operatorapi"
)

// StatusOptions are the options of status.
type StatusOptions struct {
	cmdutil.OperatorOptions
}

// NewCmdStatus returns the command that shows the state and the settings version of each host.
func NewCmdStatus(f *cmdutil.Factory, runF func(context.Context, *StatusOptions) error) *cli.Command {
	opts := &StatusOptions{OperatorOptions: cmdutil.OperatorOptions{Factory: f}}

	return &cli.Command{
		Name:        "status",
		Usage:       "say which host has which settings version in force",
		Description: cmdutil.FormatExamples("cardamomward status --operator 127.0.0.1:7002"),
		Flags:       opts.Flags(),
		Action: func(ctx context.Context, _ *cli.Command) error {
			if runF != nil {
				return runF(ctx, opts)
			}

			return statusRun(ctx, opts)
		},
	}
}

func statusRun(ctx context.Context, opts *StatusOptions) error {
	status, err := opts.OperatorClient().GetClusterStatus(ctx)
	if err != nil {
		return err
	}
	if !opts.JSON {
		fmt.Fprintf(opts.Factory.IOStreams.Out, "settings version %d\n\n", status.SettingsVersion)
	}
	header := cmdutil.Row{"host", "failure-domain", "state", "settings-version", "in-force", "slots", "running-calls"}

	return cmdutil.PrintResult(&opts.OperatorOptions, status, header, tableRows)
}

func tableRows(status operatorapi.ClusterStatus) []cmdutil.Row {
	rows := make([]cmdutil.Row, 0, len(status.Hosts))
	for i := range status.Hosts {
		h := &status.Hosts[i]
		inForce := "yes"
		if h.SettingsVersion < status.SettingsVersion {
			inForce = "no"
		}
		rows = append(rows, cmdutil.Row{
			string(h.Host), string(h.FailureDomain), cmdutil.HostStateText(h), fmt.Sprint(h.SettingsVersion), inForce,
			fmt.Sprint(h.OwnedSlots), fmt.Sprint(h.RunningCalls),
		})
	}

	return rows
}
