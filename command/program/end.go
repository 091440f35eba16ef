package program

import (
	"context"

	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
	"cardamomward/core/id"
)

// EndOptions are the options of program end.
type EndOptions struct {
	cmdutil.OperatorOptions
	Program string
}

// NewCmdEnd returns the command that ends a program.
func NewCmdEnd(f *cmdutil.Factory, runF func(context.Context, *EndOptions) error) *cli.Command {
	opts := &EndOptions{OperatorOptions: cmdutil.OperatorOptions{Factory: f}}

	return &cli.Command{
		Name:        "end",
		Usage:       "end a program",
		ArgsUsage:   "PROGRAM",
		Description: cmdutil.FormatExamples("cardamomward program end --operator 127.0.0.1:7002 PROGRAM"),
		Flags:       opts.Flags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			opts.Program = cmd.Args().First()
			if runF != nil {
				return runF(ctx, opts)
			}

			return endRun(ctx, opts)
		},
	}
}

func endRun(ctx context.Context, opts *EndOptions) error {
	if opts.Program == "" {
		return cmdutil.NewUsageError("name the program to end; see program list")
	}
	program, err := opts.OperatorClient().EndProgram(ctx, id.Program(opts.Program))
	if err != nil {
		return err
	}

	return printProgram(&opts.OperatorOptions, program)
}
