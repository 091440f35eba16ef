package key

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
	"cardamomward/core/id"
)

// IssueOptions are the options of key issue.
type IssueOptions struct {
	Factory         *cmdutil.Factory
	OperatorAddress string
	Workspace       string
	JSON            bool
}

// NewCmdIssue returns the command that issues an API key for a workspace.
func NewCmdIssue(f *cmdutil.Factory, runF func(context.Context, *IssueOptions) error) *cli.Command {
	opts := &IssueOptions{Factory: f}

	return &cli.Command{
		Name:        "issue",
		Usage:       "issue a key for a workspace and show it this once",
		Description: cmdutil.FormatExamples("cardamomward key issue --workspace clerks"),
		Flags: []cli.Flag{
			cmdutil.OperatorFlag(&opts.OperatorAddress),
			cmdutil.JSONFlag(&opts.JSON),
			&cli.StringFlag{Name: "workspace", Usage: "workspace of the key", Required: true, Destination: &opts.Workspace},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			if runF != nil {
				return runF(ctx, opts)
			}

			return issueRun(ctx, opts)
		},
	}
}

func issueRun(ctx context.Context, opts *IssueOptions) error {
	resp, err := opts.Factory.OperatorClient(opts.OperatorAddress).IssueKey(ctx, id.Workspace(opts.Workspace))
	if err != nil {
		return err
	}
	if opts.JSON {
		return cmdutil.PrintJSON(opts.Factory.IOStreams, resp)
	}
	_, err = fmt.Fprintf(opts.Factory.IOStreams.Out, "key %s of workspace %s, shown this once:\n%s\n", resp.Key, opts.Workspace, resp.BearerToken)

	return err
}
