package settings

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
	"cardamomward/core/settings"
)

// CheckOptions are the options of settings check.
type CheckOptions struct {
	Factory *cmdutil.Factory
	Files   []string
}

// NewCmdCheck returns the command that checks settings files.
func NewCmdCheck(f *cmdutil.Factory, runF func(context.Context, *CheckOptions) error) *cli.Command {
	opts := &CheckOptions{Factory: f}

	return &cli.Command{
		Name:        "check",
		Usage:       "check settings files and print all findings",
		ArgsUsage:   "FILE...",
		Description: cmdutil.Example("cardamomward settings check fleet.yaml"),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			opts.Files = cmd.Args().Slice()
			if runF != nil {
				return runF(ctx, opts)
			}

			return checkRun(ctx, opts)
		},
	}
}

func checkRun(_ context.Context, opts *CheckOptions) error {
	if len(opts.Files) == 0 {
		return cmdutil.Usage("name the settings files to check")
	}
	count := 0
	for _, file := range opts.Files {
		source, err := opts.Factory.ReadFile(file)
		if err != nil {
			return cmdutil.Usage("read %s: %v", file, err)
		}
		_, findings := settings.Parse(file, source)
		for _, finding := range findings {
			fmt.Fprintln(opts.Factory.IOStreams.Out, finding)
		}
		count += len(findings)
	}
	if count > 0 {
		return cmdutil.Usage("%d findings; nothing was published", count)
	}

	return nil
}
