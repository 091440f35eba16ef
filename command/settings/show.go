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
	// Path narrows the output to an entry or a key.
	Path string
	// File is shown in place of the settings in force.
	File string
	// Document prints the document as it was published.
	Document bool
}

// NewCmdShow returns the command that shows effective values.
func NewCmdShow(f *cmdutil.Factory, runF func(context.Context, *ShowOptions) error) *cli.Command {
	opts := &ShowOptions{OperatorOptions: cmdutil.OperatorOptions{Factory: f}}

	return &cli.Command{
		Name:  "show",
		Usage: "show the effective value of each key and which ancestor it came from",
		Description: cmdutil.Example("cardamomward settings show --operator 127.0.0.1:7002 --path clerks.rate",
			"cardamomward settings show --file fleet.yaml --path services.drafting",
			"cardamomward settings show --operator 127.0.0.1:7002 --document > fleet.yaml"),
		Flags: []cli.Flag{
			cmdutil.OptionalOperatorFlag(&opts.Address),
			cmdutil.JSONFlag(&opts.JSON),
			&cli.StringFlag{Name: "path", Usage: "entry or key, such as clerks.rate or services.drafting", Destination: &opts.Path},
			&cli.StringFlag{Name: "file", Usage: "show this file in place of the settings in force", Destination: &opts.File},
			&cli.BoolFlag{Name: "document", Usage: "print the document as it was published", Destination: &opts.Document},
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
	if opts.Address == "" && opts.File == "" {
		return cmdutil.Usage("set --operator or %s to a host's operator address, or --file to a settings file", cmdutil.OperatorVariable)
	}
	if opts.Document {
		return showDocument(ctx, opts)
	}
	tree, err := showTree(ctx, opts)
	if err != nil {
		return err
	}
	values := tree.EffectiveValues(opts.Path)
	if len(values) == 0 {
		return apierror.New(apierror.NotFound, "there is nothing at %q; see workspace list, service list and settings schema", opts.Path)
	}

	return cmdutil.Print(&opts.OperatorOptions, values, cmdutil.Row{"key", "value", "from"}, func(list []settings.EffectiveValue) []cmdutil.Row {
		rows := make([]cmdutil.Row, 0, len(list))
		for _, value := range list {
			rows = append(rows, cmdutil.Row{value.Path, value.Value, origin(value)})
		}

		return rows
	})
}

func origin(value settings.EffectiveValue) string {
	if value.Line == 0 {
		return value.Origin()
	}

	return fmt.Sprintf("%s, line %d", value.Origin(), value.Line)
}

func showDocument(ctx context.Context, opts *ShowOptions) error {
	if opts.Address == "" {
		return cmdutil.Usage("--document needs --operator")
	}
	current, err := opts.Client().GetSettings(ctx)
	if err != nil {
		return err
	}
	if opts.JSON {
		return cmdutil.PrintJSON(opts.Factory.IOStreams, current)
	}
	_, err = fmt.Fprint(opts.Factory.IOStreams.Out, current.Document)

	return err
}

func showTree(ctx context.Context, opts *ShowOptions) (*settings.Tree, error) {
	if opts.File == "" {
		tree, _, err := cmdutil.PublishedSettings(ctx, &opts.OperatorOptions)

		return tree, err
	}
	source, err := opts.Factory.ReadFile(opts.File)
	if err != nil {
		return nil, cmdutil.Usage("read %s: %v", opts.File, err)
	}
	tree, findings := settings.ParseTree(opts.File, source)

	return tree, cmdutil.Findings(opts.Factory.IOStreams.Err, findings)
}
