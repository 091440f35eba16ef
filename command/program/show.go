package program

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
	"cardamomward/core/id"
)

// ShowOptions are the options of program show.
type ShowOptions struct {
	cmdutil.OperatorOptions
	Program string
	// ShowHistory also shows the program's turns.
	ShowHistory bool
}

// NewCmdShow returns the command that shows a program.
func NewCmdShow(f *cmdutil.Factory, runF func(context.Context, *ShowOptions) error) *cli.Command {
	opts := &ShowOptions{OperatorOptions: cmdutil.OperatorOptions{Factory: f}}

	return &cli.Command{
		Name:        "show",
		Usage:       "show a program",
		ArgsUsage:   "PROGRAM",
		Description: cmdutil.FormatExamples("cardamomward program show --operator 127.0.0.1:7002 --history PROGRAM"),
		Flags: append(opts.Flags(),
			&cli.BoolFlag{Name: "history", Usage: "show its turns too", Destination: &opts.ShowHistory}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			opts.Program = cmd.Args().First()
			if runF != nil {
				return runF(ctx, opts)
			}

			return showRun(ctx, opts)
		},
	}
}

func showRun(ctx context.Context, opts *ShowOptions) error {
	if opts.Program == "" {
		return cmdutil.NewUsageError("name the program to show; see program list")
	}
	program, err := opts.OperatorClient().GetProgram(ctx, id.Program(opts.Program), opts.ShowHistory)
	if err != nil {
		return err
	}
	if err := printProgram(&opts.OperatorOptions, program); err != nil || opts.JSON {
		return err
	}
	for i := range program.History {
		turn := &program.History[i]
		fmt.Fprintf(opts.Factory.IOStreams.Out, "\nturn %d: %d prompt tokens, %d cached, %d completion tokens, %s\n",
			turn.Turn, turn.PromptTokens, turn.CachedTokens, turn.CompletionTokens, turn.FinishReason)
		for _, message := range append(turn.Input, turn.Answer) {
			fmt.Fprintf(opts.Factory.IOStreams.Out, "  %s: %s\n", message.Role, message.Content)
		}
	}

	return nil
}
