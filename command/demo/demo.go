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
	"cardamomward/io/operatorapi"
	"cardamomward/standin/fleet"
)

//go:embed sample.yaml
var sampleSettings []byte

// DemoOptions are the options of demo.
type DemoOptions struct {
	Factory *cmdutil.Factory
	// SettingsFile is the settings file of the cluster; empty means the embedded sample.
	SettingsFile string
	// Verbosity is the highest level of log events to write; -1 disables them.
	Verbosity int
}

const (
	// demoTimeout bounds the whole demo.
	demoTimeout = 15 * time.Second
	// publishTimeout bounds the wait until the settings are in force on all hosts.
	publishTimeout = 5 * time.Second
	// locationTTL is the cache lifetime of a host's address at callers; it is short so that the demo ends soon.
	locationTTL = 500 * time.Millisecond
	// verbositySilent disables log events.
	verbositySilent = -1
	// minHosts and maxHosts bound the number of hosts, which is one for each failure domain.
	minHosts = 3
	maxHosts = 6
)

// NewCmdDemo returns the command that runs programs on a local cluster and prints each step.
func NewCmdDemo(f *cmdutil.Factory, runF func(context.Context, *DemoOptions) error) *cli.Command {
	opts := &DemoOptions{Factory: f}

	return &cli.Command{
		Name:        "demo",
		Usage:       "run stand-ins, hosts and programs on loopback and tell what happens",
		Description: cmdutil.FormatExamples("cardamomward demo", "cardamomward demo --settings examples/authority/fleet.yaml"),
		Flags:       StartFlags(opts),
		Action: func(ctx context.Context, _ *cli.Command) error {
			if runF != nil {
				return runF(ctx, opts)
			}

			return demoRun(ctx, opts)
		},
	}
}

// StartFlags returns the flags that set the options of StartFleet.
func StartFlags(opts *DemoOptions) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "settings", Usage: "settings file to use in place of the sample", Destination: &opts.SettingsFile},
		&cli.IntFlag{Name: "verbosity", Usage: "write events up to this level", Value: verbositySilent, Destination: &opts.Verbosity},
	}
}

func demoRun(ctx context.Context, opts *DemoOptions) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	f, err := StartFleet(ctx, opts)
	if err != nil {
		return err
	}
	defer f.Stop()
	r := &demoRunner{out: opts.Factory.IOStreams.Out, fleet: f}
	if err := r.run(ctx); err != nil {
		return err
	}

	return r.writeErr
}

// StartFleet starts a local cluster with stand-in upstreams and publishes its settings.
func StartFleet(ctx context.Context, opts *DemoOptions) (*fleet.Fleet, error) {
	document, err := readSettings(opts)
	if err != nil {
		return nil, err
	}
	parsed, findings := settings.Parse(opts.SettingsFile, document)
	if err := cmdutil.ReportFindings(opts.Factory.IOStreams.Err, findings); err != nil {
		return nil, err
	}
	domains := listFailureDomains(parsed)
	f, err := fleet.Start(ctx, fleet.Options{
		HostCount: min(max(len(domains), minHosts), maxHosts), FailureDomains: domains,
		SettingsDocument: document, LocationTTL: locationTTL, Logger: opts.Factory.Logger(opts.Verbosity),
	})
	if err != nil {
		return nil, err
	}
	if err := publishSettings(ctx, f); err != nil {
		f.Stop()

		return nil, err
	}

	return f, nil
}

func readSettings(opts *DemoOptions) ([]byte, error) {
	if opts.SettingsFile == "" {
		return sampleSettings, nil
	}
	document, err := opts.Factory.ReadFile(opts.SettingsFile)
	if err != nil {
		return nil, cmdutil.NewUsageError("read %s: %v", opts.SettingsFile, err)
	}

	return document, nil
}

// listFailureDomains returns the failure domains of all upstreams, sorted.
func listFailureDomains(parsed *settings.Fleet) []id.FailureDomain {
	var domains []id.FailureDomain
	for _, svc := range parsed.SortedServices() {
		for _, upstream := range svc.Upstreams {
			domains = append(domains, upstream.FailureDomain)
		}
	}
	slices.Sort(domains)

	return slices.Compact(domains)
}

func publishSettings(ctx context.Context, f *fleet.Fleet) error {
	if err := f.WaitUntilReady(ctx); err != nil {
		return err
	}
	resp, err := f.OperatorClient(0).PublishSettings(ctx, operatorapi.PublishRequest{
		Document: string(f.SettingsDocument), Author: "demo", WaitMillis: publishTimeout.Milliseconds(),
	})
	if err != nil {
		return err
	}
	if len(resp.PendingHosts) > 0 {
		return errUnexpectedOutcome.New("the settings did not come into force on %v within %s", resp.PendingHosts, publishTimeout)
	}

	return nil
}
