package key

import (
	"context"

	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
	"cardamomward/core/id"
	"cardamomward/io/operatorapi"
)

// ListOptions are the options of key list.
type ListOptions struct {
	cmdutil.OperatorOptions
	Workspace string
}

// NewCmdList returns the command that lists API keys.
func NewCmdList(f *cmdutil.Factory, runF func(context.Context, *ListOptions) error) *cli.Command {
	opts := &ListOptions{OperatorOptions: cmdutil.OperatorOptions{Factory: f}}

	return &cli.Command{
		Name:        "list",
		Usage:       "list keys without their secrets",
		Description: cmdutil.FormatExamples("cardamomward key list --operator 127.0.0.1:7002 --workspace clerks"),
		Flags: append(opts.Flags(),
			&cli.StringFlag{Name: "workspace", Usage: "only keys of this workspace", Destination: &opts.Workspace}),
		Action: func(ctx context.Context, _ *cli.Command) error {
			if runF != nil {
				return runF(ctx, opts)
			}

			return listRun(ctx, opts)
		},
	}
}

func listRun(ctx context.Context, opts *ListOptions) error {
	keys, err := opts.OperatorClient().ListKeys(ctx)
	if err != nil {
		return err
	}
	filtered := operatorapi.APIKeyList{Keys: []operatorapi.APIKey{}}
	for _, key := range keys.Keys {
		if opts.Workspace == "" || key.Workspace == id.Workspace(opts.Workspace) {
			filtered.Keys = append(filtered.Keys, key)
		}
	}

	return cmdutil.PrintResult(&opts.OperatorOptions, filtered, cmdutil.Row{"key", "workspace", "state"}, func(list operatorapi.APIKeyList) []cmdutil.Row {
		rows := make([]cmdutil.Row, 0, len(list.Keys))
		for _, key := range list.Keys {
			rows = append(rows, cmdutil.Row{string(key.Key), string(key.Workspace), keyState(key)})
		}

		return rows
	})
}

func keyState(key operatorapi.APIKey) string {
	if key.Withdrawn {
		return "withdrawn"
	}

	return "valid"
}
