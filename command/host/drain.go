package host

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
)

// DrainOptions are the options of host drain.
type DrainOptions struct {
	cmdutil.OperatorOptions
	// Host is the host's name or its operator address.
	Host string
}

// NewCmdDrain returns the command that drains a host.
func NewCmdDrain(f *cmdutil.Factory, runF func(context.Context, *DrainOptions) error) *cli.Command {
	opts := &DrainOptions{OperatorOptions: cmdutil.OperatorOptions{Factory: f}}

	return &cli.Command{
		Name:        "drain",
		Usage:       "make a host end its work, hand over and stop",
		ArgsUsage:   "HOST",
		Description: cmdutil.FormatExamples("cardamomward host drain --operator 127.0.0.1:7002 host-3"),
		Flags:       opts.Flags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			opts.Host = cmd.Args().First()
			if runF != nil {
				return runF(ctx, opts)
			}

			return drainRun(ctx, opts)
		},
	}
}

// drainResult is the JSON output of drain.
type drainResult struct {
	Host    string `json:"host"`
	Leaving bool   `json:"leaving"`
}

func drainRun(ctx context.Context, opts *DrainOptions) error {
	client, err := cmdutil.ResolveHost(ctx, &opts.OperatorOptions, opts.Host)
	if err != nil {
		return err
	}
	if err := client.DrainHost(ctx); err != nil {
		return err
	}
	if opts.JSON {
		return cmdutil.PrintJSON(opts.Factory.IOStreams, drainResult{Host: opts.Host, Leaving: true})
	}
	_, err = fmt.Fprintf(opts.Factory.IOStreams.Out, "host %s is leaving; it stops when its work has ended, see host list\n", opts.Host)

	return err
}
