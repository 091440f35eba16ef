package demo

import (
	"context"
	_ "embed"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
	"cardamomward/core/id"
	"cardamomward/core/settings"
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
	// minHosts and maxHosts bound the hosts, of which there is one in each failure domain.
	minHosts = 3
	maxHosts = 6
)

// NewCmdDemo returns the command that shows the whole path.
func NewCmdDemo(f *cmdutil.Factory, runF func(context.Context, *DemoOptions) error) *cli.Command {
	opts := &DemoOptions{Factory: f}

	return &cli.Command{
		Name:        "demo",
		Usage:       "run stand-ins, hosts and programs on loopback and tell what happens",
		Description: cmdutil.Example("cardamomward demo", "cardamomward demo --settings examples/authority/fleet.yaml"),
		Flags:       Flags(opts),
		Action: func(ctx context.Context, _ *cli.Command) error {
			if runF != nil {
				return runF(ctx, opts)
			}

			return demoRun(ctx, opts)
		},
	}
}

// Flags returns the flags that say what to start.
func Flags(opts *DemoOptions) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "settings", Usage: "settings file to use in place of the sample", Destination: &opts.Settings},
		&cli.IntFlag{Name: "verbosity", Usage: "write events up to this level", Value: silent, Destination: &opts.Verbosity},
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

// Start starts a fleet of stand-ins and hosts and publishes its settings.
func Start(ctx context.Context, opts *DemoOptions) (*fleet.Fleet, error) {
	document, err := read(opts)
	if err != nil {
		return nil, err
	}
	parsed, findings := settings.Parse(opts.Settings, document)
	if err := cmdutil.Findings(opts.Factory.IOStreams.Err, findings); err != nil {
		return nil, err
	}
	domains := domainsOf(parsed)
	f, err := fleet.Start(ctx, fleet.Options{
		HostCount: min(max(len(domains), minHosts), maxHosts), FailureDomains: domains,
		SettingsDocument: document, LocationTTL: whereLifetime, Logger: opts.Factory.Logger(opts.Verbosity),
	})
	if err != nil {
		return nil, err
	}
	if err := publish(ctx, f); err != nil {
		f.Stop()

		return nil, err
	}

	return f, nil
}

func read(opts *DemoOptions) ([]byte, error) {
	if opts.Settings == "" {
		return sample, nil
	}
	document, err := opts.Factory.ReadFile(opts.Settings)
	if err != nil {
		return nil, cmdutil.Usage("read %s: %v", opts.Settings, err)
	}

	return document, nil
}

// domainsOf returns the failure domains of the upstreams.
func domainsOf(parsed *settings.Fleet) []id.FailureDomain {
	var domains []id.FailureDomain
	for _, svc := range parsed.SortedServices() {
		for _, upstream := range svc.Upstreams {
			domains = append(domains, upstream.FailureDomain)
		}
	}
	slices.Sort(domains)

	return slices.Compact(domains)
}

func publish(ctx context.Context, f *fleet.Fleet) error {
	if err := f.WaitUntilReady(ctx); err != nil {
		return err
	}
	resp, err := f.OperatorClient(0).Publish(ctx, operator.PublishRequest{
		Document: string(f.SettingsDocument), Author: "demo", WaitMillis: publishWait.Milliseconds(),
	})
	if err != nil {
		return err
	}
	if len(resp.Waiting) > 0 {
		return errStep.New("the settings did not come into force on %v within %s", resp.Waiting, publishWait)
	}

	return nil
}
