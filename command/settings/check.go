package settings

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
	"cardamomward/core/settings"
	"cardamomward/io/daemon"
)

// CheckOptions are the options of settings check.
type CheckOptions struct {
	Factory *cmdutil.Factory
	Files   []string
	// AreHostSettings is true if the files are settings of single hosts rather than of all hosts.
	AreHostSettings bool
	JSON            bool
}

// NewCmdCheck returns the command that checks settings files.
func NewCmdCheck(f *cmdutil.Factory, runF func(context.Context, *CheckOptions) error) *cli.Command {
	opts := &CheckOptions{Factory: f}

	return &cli.Command{
		Name:      "check",
		Usage:     "check settings files and print all findings",
		ArgsUsage: "FILE...",
		Description: cmdutil.FormatExamples("cardamomward settings check fleet.yaml",
			"cardamomward settings check --host host-1.yaml host-2.yaml"),
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "host", Usage: "the files are hosts' own settings", Destination: &opts.AreHostSettings},
			cmdutil.JSONFlag(&opts.JSON),
		},
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
		return cmdutil.NewUsageError("name the settings files to check")
	}
	findings := []settings.Finding{}
	for _, file := range opts.Files {
		source, err := opts.Factory.ReadFile(file)
		if err != nil {
			return cmdutil.NewUsageError("read %s: %v", file, err)
		}
		findings = append(findings, checkFile(file, source, opts.AreHostSettings)...)
	}
	if opts.JSON {
		if err := cmdutil.PrintJSON(opts.Factory.IOStreams, findings); err != nil {
			return err
		}

		return cmdutil.FindingsError(findings)
	}
	if err := cmdutil.ReportFindings(opts.Factory.IOStreams.Out, findings); err != nil {
		return err
	}
	_, err := fmt.Fprintf(opts.Factory.IOStreams.Out, "no findings in %d of %d files\n", len(opts.Files), len(opts.Files))

	return err
}

func checkFile(file string, source []byte, areHostSettings bool) []settings.Finding {
	if areHostSettings {
		_, findings := daemon.LoadConfig(file, source)

		return findings
	}
	_, findings := settings.Parse(file, source)

	return findings
}
