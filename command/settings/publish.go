package settings

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
	"cardamomward/core/id"
	"cardamomward/core/settings"
	"cardamomward/io/operatorapi"
)

// PublishOptions are the options of settings publish.
type PublishOptions struct {
	Factory         *cmdutil.Factory
	OperatorAddress string
	File            string
	Author          string
	// BaseVersion is the version on which the file is based; the published version is used unless HasBaseVersion is set.
	BaseVersion    uint64
	HasBaseVersion bool
	// WaitTimeout bounds the wait until the settings are in force on all hosts.
	WaitTimeout time.Duration
	JSON        bool
}

// defaultPublishTimeout is the time limit for settings to be in force on all hosts.
const defaultPublishTimeout = 7 * time.Second

// NewCmdPublish returns the command that publishes settings.
func NewCmdPublish(f *cmdutil.Factory, runF func(context.Context, *PublishOptions) error) *cli.Command {
	opts := &PublishOptions{Factory: f}

	return &cli.Command{
		Name:        "publish",
		Usage:       "publish a settings file to all hosts",
		ArgsUsage:   "FILE",
		Description: cmdutil.FormatExamples("cardamomward settings publish --operator 127.0.0.1:7002 fleet.yaml"),
		Flags: []cli.Flag{
			cmdutil.OperatorFlag(&opts.OperatorAddress),
			cmdutil.JSONFlag(&opts.JSON),
			&cli.StringFlag{Name: "author", Usage: "who publishes", Destination: &opts.Author},
			&cli.Uint64Flag{Name: "base", Usage: "version that the file was based on; the one in force if not set", Destination: &opts.BaseVersion},
			&cli.DurationFlag{Name: "wait", Usage: "how long to wait for all hosts", Value: defaultPublishTimeout, Destination: &opts.WaitTimeout},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			opts.File = cmd.Args().First()
			opts.HasBaseVersion = cmd.IsSet("base")
			if runF != nil {
				return runF(ctx, opts)
			}

			return publishRun(ctx, opts)
		},
	}
}

func publishRun(ctx context.Context, opts *PublishOptions) error {
	if opts.File == "" {
		return cmdutil.NewUsageError("name the settings file to publish")
	}
	document, err := opts.Factory.ReadFile(opts.File)
	if err != nil {
		return cmdutil.NewUsageError("read %s: %v", opts.File, err)
	}
	_, findings := settings.Parse(opts.File, document)
	if err := cmdutil.ReportFindings(opts.Factory.IOStreams.Err, findings); err != nil {
		return err
	}
	client := opts.Factory.OperatorClient(opts.OperatorAddress)
	base := id.Position(opts.BaseVersion)
	if !opts.HasBaseVersion {
		current, err := client.GetSettings(ctx)
		if err != nil {
			return err
		}
		base = current.Version
	}
	resp, err := client.PublishSettings(ctx, operatorapi.PublishRequest{
		BaseVersion: base, Document: string(document), Author: opts.Author, WaitMillis: opts.WaitTimeout.Milliseconds(),
	})
	if err != nil {
		return err
	}
	if err := printPublishResult(opts, resp); err != nil {
		return err
	}
	if len(resp.PendingHosts) > 0 {
		return fmt.Errorf("version %d is not yet in force on %v; check again with the status command", resp.Version, resp.PendingHosts)
	}

	return nil
}

func printPublishResult(opts *PublishOptions, resp operatorapi.PublishResponse) error {
	if opts.JSON {
		return cmdutil.PrintJSON(opts.Factory.IOStreams, resp)
	}
	_, err := fmt.Fprintf(opts.Factory.IOStreams.Out, "version %d is in force on %v\n", resp.Version, resp.AppliedHosts)

	return err
}
