package settings

import (
	"context"

	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
	"cardamomward/core/settings"
	"cardamomward/io/daemon"
)

// SchemaOptions are the options of settings schema.
type SchemaOptions struct {
	Factory *cmdutil.Factory
	JSON    bool
}

// NewCmdSchema returns the command that prints a reference of all settings keys.
func NewCmdSchema(f *cmdutil.Factory, runF func(context.Context, *SchemaOptions) error) *cli.Command {
	opts := &SchemaOptions{Factory: f}

	return &cli.Command{
		Name:        "schema",
		Usage:       "print a reference of every key with its default, unit and range",
		Description: cmdutil.FormatExamples("cardamomward settings schema", "cardamomward settings schema --json"),
		Flags:       []cli.Flag{cmdutil.JSONFlag(&opts.JSON)},
		Action: func(ctx context.Context, _ *cli.Command) error {
			if runF != nil {
				return runF(ctx, opts)
			}

			return schemaRun(ctx, opts)
		},
	}
}

func schemaRun(_ context.Context, opts *SchemaOptions) error {
	scopes := append(settings.Scopes(), daemon.SettingsScope())
	if opts.JSON {
		return cmdutil.PrintJSON(opts.Factory.IOStreams, scopes)
	}

	return settings.WriteReference(opts.Factory.IOStreams.Out, scopes)
}
