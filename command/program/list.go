package program

import (
	"context"

	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
	"cardamomward/core/id"
	"cardamomward/io/operatorapi"
)

// ListOptions are the options of program list.
type ListOptions struct {
	cmdutil.OperatorOptions
	Workspace string
}

// NewCmdList returns the command that lists programs.
func NewCmdList(f *cmdutil.Factory, runF func(context.Context, *ListOptions) error) *cli.Command {
	opts := &ListOptions{OperatorOptions: cmdutil.OperatorOptions{Factory: f}}

	return &cli.Command{
		Name:        "list",
		Usage:       "list programs, up to 1000",
		Description: cmdutil.FormatExamples("cardamomward program list --operator 127.0.0.1:7002 --workspace clerks"),
		Flags: append(opts.Flags(),
			&cli.StringFlag{Name: "workspace", Usage: "only programs of this workspace", Destination: &opts.Workspace}),
		Action: func(ctx context.Context, _ *cli.Command) error {
			if runF != nil {
				return runF(ctx, opts)
			}

			return listRun(ctx, opts)
		},
	}
}

func listRun(ctx context.Context, opts *ListOptions) error {
	programs, err := opts.OperatorClient().ListPrograms(ctx, id.Workspace(opts.Workspace))
	if err != nil {
		return err
	}

	return cmdutil.PrintResult(&opts.OperatorOptions, programs, tableHeader, func(list operatorapi.ProgramList) []cmdutil.Row {
		rows := make([]cmdutil.Row, 0, len(list.Programs))
		for i := range list.Programs {
			rows = append(rows, tableRow(&list.Programs[i]))
		}

		return rows
	})
}
