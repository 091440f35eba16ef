package settings

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
	"cardamomward/core/apierror"
	"cardamomward/core/settings"
)

// ShowOptions are the options of settings show.
type ShowOptions struct {
	cmdutil.OperatorOptions
	// Path restricts the output to an entry or a key; empty means all.
	Path string
	// File is a settings file to show in place of the published settings.
	File string
	// PrintDocument prints the published document unchanged in place of effective values.
	PrintDocument bool
}

// NewCmdShow returns the command that prints effective values and their origin.
func NewCmdShow(f *cmdutil.Factory, runF func(context.Context, *ShowOptions) error) *cli.Command {
	opts := &ShowOptions{OperatorOptions: cmdutil.OperatorOptions{Factory: f}}

	return &cli.Command{
		Name:  "show",
		Usage: "show the effective value of each key and which ancestor it came from",
		Description: cmdutil.FormatExamples("cardamomward settings show --operator 127.0.0.1:7002 --path clerks.rate",
			"cardamomward settings show --file fleet.yaml --path services.drafting",
			"cardamomward settings show --operator 127.0.0.1:7002 --document > fleet.yaml"),
		Flags: []cli.Flag{
			cmdutil.OptionalOperatorFlag(&opts.OperatorAddress),
			cmdutil.JSONFlag(&opts.JSON),
			&cli.StringFlag{Name: "path", Usage: "entry or key, such as clerks.rate or services.drafting", Destination: &opts.Path},
			&cli.StringFlag{Name: "file", Usage: "show this file in place of the settings in force", Destination: &opts.File},
			&cli.BoolFlag{Name: "document", Usage: "print the document as it was published", Destination: &opts.PrintDocument},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			if runF != nil {
				return runF(ctx, opts)
			}

			return showRun(ctx, opts)
		},
	}
}

func showRun(ctx context.Context, opts *ShowOptions) error {
	if opts.OperatorAddress == "" && opts.File == "" {
		return cmdutil.NewUsageError("set --operator or %s to a host's operator address, or --file to a settings file", cmdutil.OperatorAddressEnvVar)
	}
	if opts.PrintDocument {
		return showDocument(ctx, opts)
	}
	tree, err := loadTree(ctx, opts)
	if err != nil {
		return err
	}
	values := tree.EffectiveValues(opts.Path)
	if len(values) == 0 {
		return apierror.New(apierror.NotFound, "there is nothing at %q; see workspace list, service list and settings schema", opts.Path)
	}

	return cmdutil.PrintResult(&opts.OperatorOptions, values, cmdutil.Row{"key", "value", "from"}, func(list []settings.EffectiveValue) []cmdutil.Row {
		rows := make([]cmdutil.Row, 0, len(list))
		for _, value := range list {
			rows = append(rows, cmdutil.Row{value.Path, value.Value, formatOrigin(value)})
		}

		return rows
	})
}

func formatOrigin(value settings.EffectiveValue) string {
	if value.Line == 0 {
		return value.Origin()
	}

	return fmt.Sprintf("%s, line %d", value.Origin(), value.Line)
}

func showDocument(ctx context.Context, opts *ShowOptions) error {
	if opts.OperatorAddress == "" {
		return cmdutil.NewUsageError("--document prints the published settings and needs --operator")
	}
	current, err := opts.OperatorClient().GetSettings(ctx)
	if err != nil {
		return err
	}
	if opts.JSON {
		return cmdutil.PrintJSON(opts.Factory.IOStreams, current)
	}
	_, err = fmt.Fprint(opts.Factory.IOStreams.Out, current.Document)

	return err
}

func loadTree(ctx context.Context, opts *ShowOptions) (*settings.Tree, error) {
	if opts.File == "" {
		tree, _, err := cmdutil.FetchPublishedSettings(ctx, &opts.OperatorOptions)

		return tree, err
	}
	source, err := opts.Factory.ReadFile(opts.File)
	if err != nil {
		return nil, cmdutil.NewUsageError("read %s: %v", opts.File, err)
	}
	tree, findings := settings.ParseTree(opts.File, source)

	return tree, cmdutil.ReportFindings(opts.Factory.IOStreams.Err, findings)
}
