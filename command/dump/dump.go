package dump

import (
	"context"
	"encoding/json"

	"github.com/goccy/go-yaml"
	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
)

// DumpOptions are the options of dump.
type DumpOptions struct {
	cmdutil.OperatorOptions
	// Host is the host's name or its operator address.
	Host string
	// Filters are names of sections, program=ID or workspace=NAME; empty means the whole dump.
	Filters []string
}

// NewCmdDump returns the command that prints the internal state of a host.
func NewCmdDump(f *cmdutil.Factory, runF func(context.Context, *DumpOptions) error) *cli.Command {
	opts := &DumpOptions{OperatorOptions: cmdutil.OperatorOptions{Factory: f}}

	return &cli.Command{
		Name:      "dump",
		Usage:     "show the whole state of a host, given by its name or its operator address",
		ArgsUsage: "HOST",
		Description: cmdutil.FormatExamples(
			"cardamomward dump --operator 127.0.0.1:7002 host-3",
			"cardamomward dump --filter upstreams --filter slots 127.0.0.1:7012",
			"cardamomward dump --filter workspace=clerks 127.0.0.1:7012"),
		Flags: []cli.Flag{
			cmdutil.OptionalOperatorFlag(&opts.OperatorAddress),
			cmdutil.JSONFlag(&opts.JSON),
			&cli.StringSliceFlag{
				Name: "filter", Usage: "a section's name, program=ID or workspace=NAME; several narrow the output", Destination: &opts.Filters,
			},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			opts.Host = cmd.Args().First()
			if runF != nil {
				return runF(ctx, opts)
			}

			return dumpRun(ctx, opts)
		},
	}
}

func dumpRun(ctx context.Context, opts *DumpOptions) error {
	filter, err := parseFilters(opts.Filters)
	if err != nil {
		return err
	}
	client, err := cmdutil.ResolveHost(ctx, &opts.OperatorOptions, opts.Host)
	if err != nil {
		return err
	}
	dump, err := client.GetHostDump(ctx)
	if err != nil {
		return err
	}
	state, err := json.Marshal(dump)
	if err != nil {
		return err
	}
	sections, err := filter.selectSections(state)
	if err != nil {
		return err
	}
	if opts.JSON {
		return cmdutil.PrintJSON(opts.Factory.IOStreams, sections)
	}
	state, err = json.Marshal(sections)
	if err != nil {
		return err
	}
	text, err := yaml.JSONToYAML(state)
	if err != nil {
		return err
	}
	_, err = opts.Factory.IOStreams.Out.Write(text)

	return err
}
