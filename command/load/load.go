package load

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
)

// Arrivals names how the rate of programs changes over a run.
type Arrivals string

// Patterns of arrivals.
const (
	Steady Arrivals = "steady"
	Surge  Arrivals = "surge"
	Flood  Arrivals = "flood"
)

// LoadOptions are the options of load.
type LoadOptions struct {
	cmdutil.OperatorOptions

	Arrivals string
	// Rate is in programs a second over all workspaces.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	// Size and Pace multiply the tokens and the tool pauses of the programs.
	Size float64
	Pace float64
}

const (
	defaultRate     = 2
	defaultDuration = 30 * time.Second
	defaultSize     = 0.05
	defaultPace     = 0.1
)

// NewCmdLoad returns the command that puts load on a running fleet.
func NewCmdLoad(f *cmdutil.Factory, runF func(context.Context, *LoadOptions) error) *cli.Command {
	opts := &LoadOptions{OperatorOptions: cmdutil.OperatorOptions{Factory: f}}

	return &cli.Command{
		Name:  "load",
		Usage: "run programs against a fleet and report how they fared",
		Description: cmdutil.Example(
			"cardamomward load --operator 127.0.0.1:7002",
			"cardamomward load --operator 127.0.0.1:7002 --arrivals surge --rate 5 --duration 2m --json"),
		Flags: append(opts.Flags(),
			&cli.StringFlag{
				Name: "arrivals", Usage: "steady, surge (three times the rate in the middle third) or flood (one workspace at six times its part)",
				Value: string(Steady), Destination: &opts.Arrivals,
			},
			&cli.FloatFlag{Name: "rate", Usage: "programs a second over all workspaces", Value: defaultRate, Destination: &opts.Rate},
			&cli.DurationFlag{Name: "duration", Usage: "how long programs arrive", Value: defaultDuration, Destination: &opts.Duration},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of arrivals and programs", Value: 1, Destination: &opts.Seed},
			&cli.FloatFlag{Name: "size", Usage: "factor on the programs' tokens", Value: defaultSize, Destination: &opts.Size},
			&cli.FloatFlag{Name: "pace", Usage: "factor on the programs' tool pauses", Value: defaultPace, Destination: &opts.Pace},
		),
		Action: func(ctx context.Context, _ *cli.Command) error {
			if runF != nil {
				return runF(ctx, opts)
			}

			return loadRun(ctx, opts)
		},
	}
}

func (o *LoadOptions) check() error {
	switch Arrivals(o.Arrivals) {
	case Steady, Surge, Flood:
	default:
		return cmdutil.Usage("--arrivals is %q, allowed are steady, surge and flood", o.Arrivals)
	}
	if o.Rate <= 0 || o.Duration <= 0 || o.Size <= 0 || o.Pace < 0 {
		return cmdutil.Usage("--rate, --duration and --size must be above zero, and --pace not below")
	}

	return nil
}

// cleanupTimeout bounds the withdrawal of the keys after the run.
const cleanupTimeout = 10 * time.Second

func loadRun(ctx context.Context, opts *LoadOptions) error {
	if err := opts.check(); err != nil {
		return err
	}
	tenants, err := prepare(ctx, opts)
	defer withdraw(ctx, opts, tenants)
	if err != nil {
		return err
	}
	r := &recorder{now: opts.Factory.Now}
	for _, t := range tenants {
		if err := t.calibrate(ctx, opts, r); err != nil {
			return fmt.Errorf("workspace %s does not answer before the load begins: %w", t.workspace.ID, err)
		}
	}
	report := generate(ctx, opts, tenants)
	if opts.JSON {
		return cmdutil.PrintJSON(opts.Factory.IOStreams, report)
	}

	return report.print(opts.Factory.IOStreams)
}

// withdraw withdraws the keys that the run was given.
func withdraw(ctx context.Context, opts *LoadOptions, tenants []*tenant) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	for _, t := range tenants {
		if _, err := opts.Client().WithdrawKey(ctx, t.key); err != nil {
			fmt.Fprintf(opts.Factory.IOStreams.Err, "key %s is not withdrawn: %v; run: cardamomward key withdraw %s\n", t.key, err, t.key)
		}
	}
}
