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
	Factory  *cmdutil.Factory
	Operator string
	File     string
	Author   string
	Base     uint64
	BaseSet  bool
	Wait     time.Duration
	JSON     bool
}

// defaultWait is how long publish waits for all hosts.
const defaultWait = 7 * time.Second

// NewCmdPublish returns the command that publishes settings.
func NewCmdPublish(f *cmdutil.Factory, runF func(context.Context, *PublishOptions) error) *cli.Command {
	opts := &PublishOptions{Factory: f}

	return &cli.Command{
		Name:        "publish",
		Usage:       "publish a settings file to all hosts",
		ArgsUsage:   "FILE",
		Description: cmdutil.Example("cardamomward settings publish --operator 127.0.0.1:7002 fleet.yaml"),
		Flags: []cli.Flag{
			cmdutil.OperatorFlag(&opts.Operator),
			cmdutil.JSONFlag(&opts.JSON),
			&cli.StringFlag{Name: "author", Usage: "who publishes", Destination: &opts.Author},
			&cli.Uint64Flag{Name: "base", Usage: "version that the file was based on; the one in force if not set", Destination: &opts.Base},
			&cli.DurationFlag{Name: "wait", Usage: "how long to wait for all hosts", Value: defaultWait, Destination: &opts.Wait},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			opts.File = cmd.Args().First()
			opts.BaseSet = cmd.IsSet("base")
			if runF != nil {
				return runF(ctx, opts)
			}

			return publishRun(ctx, opts)
		},
	}
}

func publishRun(ctx context.Context, opts *PublishOptions) error {
	if opts.File == "" {
		return cmdutil.Usage("name the settings file to publish")
	}
	document, err := opts.Factory.ReadFile(opts.File)
	if err != nil {
		return cmdutil.Usage("read %s: %v", opts.File, err)
	}
	_, findings := settings.Parse(opts.File, document)
	if err := cmdutil.Findings(opts.Factory.IOStreams.Err, findings); err != nil {
		return err
	}
	client := opts.Factory.Operator(opts.Operator)
	base := id.Position(opts.Base)
	if !opts.BaseSet {
		current, err := client.GetSettings(ctx)
		if err != nil {
			return err
		}
		base = current.Version
	}
	resp, err := client.PublishSettings(ctx, operatorapi.PublishRequest{
		BaseVersion: base, Document: string(document), Author: opts.Author, WaitMillis: opts.Wait.Milliseconds(),
	})
	if err != nil {
		return err
	}
	if err := printPublished(opts, resp); err != nil {
		return err
	}
	if len(resp.PendingHosts) > 0 {
		return fmt.Errorf("version %d is not yet in force on %v; look again with status", resp.Version, resp.PendingHosts)
	}

	return nil
}

func printPublished(opts *PublishOptions, resp operatorapi.PublishResponse) error {
	if opts.JSON {
		return cmdutil.PrintJSON(opts.Factory.IOStreams, resp)
	}
	_, err := fmt.Fprintf(opts.Factory.IOStreams.Out, "version %d is in force on %v\n", resp.Version, resp.AppliedHosts)

	return err
}
