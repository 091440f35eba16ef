package host

import (
	"context"

	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
	"cardamomward/io/operatorapi"
)

// ListOptions are the options of host list.
type ListOptions struct {
	cmdutil.OperatorOptions
}

// NewCmdList returns the command that lists hosts with their addresses.
func NewCmdList(f *cmdutil.Factory, runF func(context.Context, *ListOptions) error) *cli.Command {
	opts := &ListOptions{OperatorOptions: cmdutil.OperatorOptions{Factory: f}}

	return &cli.Command{
		Name:        "list",
		Usage:       "list the hosts with their addresses",
		Description: cmdutil.FormatExamples("cardamomward host list --operator 127.0.0.1:7002"),
		Flags:       opts.Flags(),
		Action: func(ctx context.Context, _ *cli.Command) error {
			if runF != nil {
				return runF(ctx, opts)
			}

			return listRun(ctx, opts)
		},
	}
}

func listRun(ctx context.Context, opts *ListOptions) error {
	status, err := opts.OperatorClient().GetClusterStatus(ctx)
	if err != nil {
		return err
	}
	header := cmdutil.Row{"host", "failure-domain", "state", "caller-address", "operator-address"}

	return cmdutil.PrintResult(&opts.OperatorOptions, status.Hosts, header, func(hosts []operatorapi.HostStatus) []cmdutil.Row {
		rows := make([]cmdutil.Row, 0, len(hosts))
		for i := range hosts {
			h := &hosts[i]
			rows = append(rows, cmdutil.Row{string(h.Host), string(h.FailureDomain), cmdutil.HostStateText(h), h.CallerAddress, h.OperatorAddress})
		}

		return rows
	})
}
