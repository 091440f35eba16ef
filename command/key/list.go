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

// NewCmdList returns the command that lists keys.
func NewCmdList(f *cmdutil.Factory, runF func(context.Context, *ListOptions) error) *cli.Command {
	opts := &ListOptions{OperatorOptions: cmdutil.OperatorOptions{Factory: f}}

	return &cli.Command{
		Name:        "list",
		Usage:       "list keys without their secrets",
		Description: cmdutil.Example("cardamomward key list --operator 127.0.0.1:7002 --workspace clerks"),
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
	keys, err := opts.Client().ListKeys(ctx)
	if err != nil {
		return err
	}
	shown := operatorapi.APIKeyList{Keys: []operatorapi.APIKey{}}
	for _, key := range keys.Keys {
		if opts.Workspace == "" || key.Workspace == id.Workspace(opts.Workspace) {
			shown.Keys = append(shown.Keys, key)
		}
	}

	return cmdutil.Print(&opts.OperatorOptions, shown, cmdutil.Row{"key", "workspace", "state"}, func(list operatorapi.APIKeyList) []cmdutil.Row {
		rows := make([]cmdutil.Row, 0, len(list.Keys))
		for _, key := range list.Keys {
			rows = append(rows, cmdutil.Row{string(key.Key), string(key.Workspace), state(key)})
		}

		return rows
	})
}

func state(key operatorapi.APIKey) string {
	if key.Withdrawn {
		return "withdrawn"
	}

	return "valid"
}
