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

// NewCmdStatus returns the command that shows all hosts.
func NewCmdStatus(f *cmdutil.Factory, runF func(context.Context, *StatusOptions) error) *cli.Command {
	opts := &StatusOptions{OperatorOptions: cmdutil.OperatorOptions{Factory: f}}

	return &cli.Command{
		Name:        "status",
		Usage:       "say which host has which settings version in force",
		Description: cmdutil.Example("cardamomward status --operator 127.0.0.1:7002"),
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
	status, err := opts.Client().GetClusterStatus(ctx)
	if err != nil {
		return err
	}
	if !opts.JSON {
		fmt.Fprintf(opts.Factory.IOStreams.Out, "settings version %d\n\n", status.SettingsVersion)
	}
	header := cmdutil.Row{"host", "failure-domain", "state", "settings-version", "in-force", "slots", "running-calls"}

	return cmdutil.Print(&opts.OperatorOptions, status, header, rows)
}

func rows(status operatorapi.ClusterStatus) []cmdutil.Row {
	list := make([]cmdutil.Row, 0, len(status.Hosts))
	for i := range status.Hosts {
		h := &status.Hosts[i]
		inForce := "yes"
		if h.SettingsVersion < status.SettingsVersion {
			inForce = "no"
		}
		list = append(list, cmdutil.Row{
			string(h.Host), string(h.FailureDomain), cmdutil.HostState(h), fmt.Sprint(h.SettingsVersion), inForce,
			fmt.Sprint(h.OwnedSlots), fmt.Sprint(h.RunningCalls),
		})
	}

	return list
}
