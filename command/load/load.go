package load

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
)

// ArrivalPattern is how the arrival rate of programs changes over a run.
type ArrivalPattern string

// Arrival patterns of a run.
const (
	// Steady is a constant rate.
	Steady ArrivalPattern = "steady"
	// Surge is three times the rate in the middle third of the run.
	Surge ArrivalPattern = "surge"
	// Flood is six times the rate for one of the workspaces.
	Flood ArrivalPattern = "flood"
)

// LoadOptions are the options of load.
type LoadOptions struct {
	cmdutil.OperatorOptions

	// Arrivals is an ArrivalPattern as the user gave it.
	Arrivals string
	// ProgramsPerSecond is the arrival rate over all workspaces.
	ProgramsPerSecond float64
	// ArrivalDuration is the time in which programs arrive.
	ArrivalDuration time.Duration
	Seed            uint64
	// TokenFactor and PauseFactor multiply the tokens and the tool pauses of the programs.
	TokenFactor float64
	PauseFactor float64
}

const (
	defaultProgramsPerSecond = 2
	defaultArrivalDuration   = 30 * time.Second
	defaultTokenFactor       = 0.05
	defaultPauseFactor       = 0.1
)

// NewCmdLoad returns the command that generates load on a running cluster.
func NewCmdLoad(f *cmdutil.Factory, runF func(context.Context, *LoadOptions) error) *cli.Command {
	opts := &LoadOptions{OperatorOptions: cmdutil.OperatorOptions{Factory: f}}

	return &cli.Command{
		Name:  "load",
		Usage: "run programs against a fleet and report how they fared",
		Description: cmdutil.FormatExamples(
			"cardamomward load --operator 127.0.0.1:7002",
			"cardamomward load --operator 127.0.0.1:7002 --arrivals surge --rate 5 --duration 2m --json"),
		Flags: append(opts.Flags(),
			&cli.StringFlag{
				Name: "arrivals", Usage: "steady, surge (three times the rate in the middle third) or flood (one workspace at six times its part)",
				Value: string(Steady), Destination: &opts.Arrivals,
			},
			&cli.FloatFlag{Name: "rate", Usage: "programs a second over all workspaces", Value: defaultProgramsPerSecond, Destination: &opts.ProgramsPerSecond},
			&cli.DurationFlag{Name: "duration", Usage: "how long programs arrive", Value: defaultArrivalDuration, Destination: &opts.ArrivalDuration},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of arrivals and programs", Value: 1, Destination: &opts.Seed},
			&cli.FloatFlag{Name: "size", Usage: "factor on the programs' tokens", Value: defaultTokenFactor, Destination: &opts.TokenFactor},
			&cli.FloatFlag{Name: "pace", Usage: "factor on the programs' tool pauses", Value: defaultPauseFactor, Destination: &opts.PauseFactor},
		),
		Action: func(ctx context.Context, _ *cli.Command) error {
			if runF != nil {
				return runF(ctx, opts)
			}

			return loadRun(ctx, opts)
		},
	}
}

func (o *LoadOptions) validate() error {
	switch ArrivalPattern(o.Arrivals) {
	case Steady, Surge, Flood:
	default:
		return cmdutil.NewUsageError("--arrivals is %q, allowed are steady, surge and flood", o.Arrivals)
	}
	if o.ProgramsPerSecond <= 0 || o.ArrivalDuration <= 0 || o.TokenFactor <= 0 || o.PauseFactor < 0 {
		return cmdutil.NewUsageError("--rate, --duration and --size must be above zero, and --pace not below")
	}

	return nil
}

// cleanupTimeout bounds the withdrawal of all keys after the run.
const cleanupTimeout = 10 * time.Second

func loadRun(ctx context.Context, opts *LoadOptions) error {
	if err := opts.validate(); err != nil {
		return err
	}
	workspaces, err := prepareWorkspaces(ctx, opts)
	defer withdrawKeys(ctx, opts, workspaces)
	if err != nil {
		return err
	}
	r := &recorder{now: opts.Factory.Now}
	for _, w := range workspaces {
		if err := w.measureUnloadedCallTime(ctx, opts, r); err != nil {
			return fmt.Errorf("workspace %s does not answer before the load begins: %w", w.settings.ID, err)
		}
	}
	report := runArrivals(ctx, opts, workspaces)
	if opts.JSON {
		return cmdutil.PrintJSON(opts.Factory.IOStreams, report)
	}

	return report.printText(opts.Factory.IOStreams)
}

// withdrawKeys withdraws the API keys that were issued for the run.
func withdrawKeys(ctx context.Context, opts *LoadOptions, workspaces []*workspaceClient) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	for _, w := range workspaces {
		if _, err := opts.OperatorClient().WithdrawKey(ctx, w.keyID); err != nil {
			fmt.Fprintf(opts.Factory.IOStreams.Err, "key %s is not withdrawn: %v; run: cardamomward key withdraw %s\n", w.keyID, err, w.keyID)
		}
	}
}
