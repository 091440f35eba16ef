package demo

import (
	"context"
	_ "embed"
	"time"

	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
	"cardamomward/io/operator"
	"cardamomward/standin/fleet"
)

//go:embed sample.yaml
var sample []byte

// DemoOptions are the options of demo.
type DemoOptions struct {
	Factory   *cmdutil.Factory
	Settings  string
	Verbosity int
}

const (
	// demoTimeout bounds the whole demo.
	demoTimeout = 15 * time.Second
	// publishWait bounds the wait until all hosts have the settings in force.
	publishWait = 5 * time.Second
	// whereLifetime is short, so that the demo ends soon.
	whereLifetime = 500 * time.Millisecond
	// silent writes no events.
	silent = -1
)

// NewCmdDemo returns the command that shows the whole path.
func NewCmdDemo(f *cmdutil.Factory, runF func(context.Context, *DemoOptions) error) *cli.Command {
	opts := &DemoOptions{Factory: f}

	return &cli.Command{
		Name:        "demo",
		Usage:       "run stand-ins, hosts and programs on loopback and tell what happens",
		Description: cmdutil.Example("cardamomward demo", "cardamomward demo --settings examples/authority/fleet.yaml"),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings file to use in place of the sample", Destination: &opts.Settings},
			&cli.IntFlag{Name: "verbosity", Usage: "write events up to this level", Value: silent, Destination: &opts.Verbosity},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			if runF != nil {
				return runF(ctx, opts)
			}

			return demoRun(ctx, opts)
		},
	}
}

func demoRun(ctx context.Context, opts *DemoOptions) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	f, err := Start(ctx, opts)
	if err != nil {
		return err
	}
	defer f.Stop()
	t := &teller{out: opts.Factory.IOStreams.Out, fleet: f}
	if err := t.tell(ctx); err != nil {
		return err
	}

	return t.err
}

// Start starts a fleet and publishes its settings.
func Start(ctx context.Context, opts *DemoOptions) (*fleet.Fleet, error) {
	document := sample
	if opts.Settings != "" {
		source, err := opts.Factory.ReadFile(opts.Settings)
		if err != nil {
			return nil, cmdutil.Usage("read %s: %v", opts.Settings, err)
		}
		document = source
	}
	f, err := fleet.Start(ctx, fleet.Options{
		Document: document, WhereLifetime: whereLifetime, Logger: opts.Factory.Logger(opts.Verbosity),
	})
	if err != nil {
		return nil, err
	}
	if err := f.Ready(ctx); err != nil {
		return nil, err
	}
	_, err = f.Operator(0).Publish(ctx, operator.PublishRequest{
		Document: string(f.Document), Author: "demo", WaitMillis: publishWait.Milliseconds(),
	})

	return f, err
}
