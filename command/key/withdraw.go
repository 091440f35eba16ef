package key

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
	"cardamomward/core/id"
)

// WithdrawOptions are the options of key withdraw.
type WithdrawOptions struct {
	cmdutil.OperatorOptions
	KeyID string
}

// NewCmdWithdraw returns the command that withdraws an API key permanently.
func NewCmdWithdraw(f *cmdutil.Factory, runF func(context.Context, *WithdrawOptions) error) *cli.Command {
	opts := &WithdrawOptions{OperatorOptions: cmdutil.OperatorOptions{Factory: f}}

	return &cli.Command{
		Name:        "withdraw",
		Usage:       "withdraw a key for good; its calls end within seconds",
		ArgsUsage:   "KEY",
		Description: cmdutil.FormatExamples("cardamomward key withdraw --operator 127.0.0.1:7002 4f1c0e5d9a7b2c3d4e5f"),
		Flags:       opts.Flags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			opts.KeyID = cmd.Args().First()
			if runF != nil {
				return runF(ctx, opts)
			}

			return withdrawRun(ctx, opts)
		},
	}
}

func withdrawRun(ctx context.Context, opts *WithdrawOptions) error {
	if opts.KeyID == "" {
		return cmdutil.NewUsageError("name the key to withdraw; see key list")
	}
	withdrawn, err := opts.OperatorClient().WithdrawKey(ctx, id.APIKey(opts.KeyID))
	if err != nil {
		return err
	}
	if opts.JSON {
		return cmdutil.PrintJSON(opts.Factory.IOStreams, withdrawn)
	}
	_, err = fmt.Fprintf(opts.Factory.IOStreams.Out, "key %s is withdrawn\n", withdrawn.Key)

	return err
}
