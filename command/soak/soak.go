package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
	"cardamomward/test/soak"
	"cardamomward/test/soak/plan"
)

// SoakOptions are the options of soak.
type SoakOptions struct {
	Factory *cmdutil.Factory
	// Seed is the first seed, and Seeds is how many are played.
	Seed  uint64
	Seeds int
	Hosts int
	// For is the duration of the faults of each run.
	For time.Duration
	// Faults are the kinds of faults; none means all.
	Faults []string
	// Keep is the directory in which the plan and logs of each failure are kept; empty means the directory for temporary files.
	Keep string
	// Jobs is the number of runs at a time.
	Jobs int
	// Reduce reruns a failing plan without single faults, down to the smallest one that still fails.
	Reduce bool
	// PlanFiles are kept plans that are played instead of those of the seeds.
	PlanFiles []string
}

const (
	defaultHosts    = 5
	defaultDuration = 30 * time.Second
	minDuration     = 3 * time.Second
	// maxProcesses bounds the hosts of all runs at a time.
	maxHosts     = 12
	maxProcesses = 36
)

// NewCmdSoak returns the command that runs gateway processes under faults and checks their promises.
func NewCmdSoak(f *cmdutil.Factory, runF func(context.Context, *SoakOptions) error) *cli.Command {
	opts := &SoakOptions{Factory: f}

	return &cli.Command{
		Name:  "soak",
		Usage: "run gateway processes under faults on loopback and check their promises",
		Description: cmdutil.FormatExamples("cardamomward soak --seeds 10 --keep failures",
			"cardamomward soak --seed 7 --hosts 4 --for 20s --faults kill,pause", "cardamomward soak --plan failures/seed-7/plan.txt"),
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the first run's faults and callers", Value: 1, Destination: &opts.Seed},
			&cli.IntFlag{Name: "seeds", Usage: "number of runs, each with the next seed", Value: 1, Destination: &opts.Seeds},
			&cli.IntFlag{Name: "hosts", Usage: "gateway processes of a run", Value: defaultHosts, Destination: &opts.Hosts},
			&cli.DurationFlag{Name: "for", Usage: "how long a run injects faults", Value: defaultDuration, Destination: &opts.For},
			&cli.StringSliceFlag{Name: "faults", Usage: "kinds of faults, separated by commas; all without it", Destination: &opts.Faults},
			&cli.StringFlag{Name: "keep", Usage: "directory in which the plan and logs of failures are kept", Destination: &opts.Keep},
			&cli.IntFlag{Name: "jobs", Usage: "runs at a time", Value: 1, Destination: &opts.Jobs},
			&cli.BoolFlag{Name: "reduce", Usage: "rerun a failing plan without single faults, down to the smallest that still fails", Destination: &opts.Reduce},
			&cli.StringSliceFlag{Name: "plan", Usage: "file with a kept plan to play instead of those of the seeds; several one after another", Destination: &opts.PlanFiles},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			if runF != nil {
				return runF(ctx, opts)
			}

			return soakRun(ctx, opts)
		},
	}
}

// plans returns the plans to play, or a UsageError that names all invalid options.
func (o *SoakOptions) plans() ([]plan.Plan, error) {
	var findings []string
	check := func(ok bool, format string, args ...any) {
		if !ok {
			findings = append(findings, fmt.Sprintf(format, args...))
		}
	}
	check(o.Seeds >= 1, "--seeds is %d; it must be at least 1", o.Seeds)
	check(o.Hosts >= 1 && o.Hosts <= maxHosts, "--hosts is %d; it must be from 1 to %d", o.Hosts, maxHosts)
	check(o.For >= minDuration, "--for is %s; it must be at least %s", o.For, minDuration)
	check(o.Jobs >= 1, "--jobs is %d; it must be at least 1", o.Jobs)
	check(o.Jobs*o.Hosts <= maxProcesses, "--jobs times --hosts is %d; at most %d processes run at a time", o.Jobs*o.Hosts, maxProcesses)
	options := plan.Options{Hosts: o.Hosts, Duration: o.For}
	for _, name := range o.Faults {
		kind := plan.Kind(strings.TrimSpace(name))
		check(slices.Contains(plan.Kinds(), kind), "--faults names %q; known are %v", name, plan.Kinds())
		options.Kinds = append(options.Kinds, kind)
	}
	var plans []plan.Plan
	for _, file := range o.PlanFiles {
		text, err := o.Factory.ReadFile(file)
		check(err == nil, "--plan: %v", err)
		if err == nil {
			p, err := plan.Parse(string(text))
			check(err == nil, "--plan %s: %v", file, err)
			check(err != nil || p.Hosts >= 1 && p.Hosts <= maxHosts && p.Hosts*o.Jobs <= maxProcesses,
				"--plan %s has %d hosts; it must have 1 to %d, and at most %d processes run at a time", file, p.Hosts, maxHosts, maxProcesses)
			plans = append(plans, p)
		}
	}
	if len(findings) > 0 {
		return nil, cmdutil.NewUsageError("%s", strings.Join(findings, "\n"))
	}
	if len(o.PlanFiles) == 0 {
		for i := range o.Seeds {
			plans = append(plans, plan.Generate(plan.Seed(o.Seed+uint64(i)), options))
		}
	}

	return plans, nil
}

// ErrViolations is returned if a run has found violations.
var ErrViolations = errors.New("the soak has found violations")

func soakRun(ctx context.Context, opts *SoakOptions) error {
	plans, err := opts.plans()
	if err != nil {
		return err
	}
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	s := &session{options: opts, executable: executable, isTerminal: isTerminal(opts.Factory.IOStreams.Out), isSingle: len(plans) == 1}
	queue := make(chan plan.Plan)
	var workers sync.WaitGroup
	for range opts.Jobs {
		workers.Go(func() {
			for p := range queue {
				s.play(ctx, p)
			}
		})
	}
	for _, p := range plans {
		queue <- p
	}
	close(queue)
	workers.Wait()
	for _, result := range s.reported {
		s.errs = append(s.errs, result.WriteReport(opts.Factory.IOStreams.Out))
	}
	fmt.Fprintf(opts.Factory.IOStreams.Out, "%d of %d runs passed\n", s.passed, len(plans))

	return errors.Join(append(s.errs, ctx.Err())...)
}

// session plays plans and prints their results.
type session struct {
	options    *SoakOptions
	executable string
	isTerminal bool
	isSingle   bool

	mu     sync.Mutex
	passed int
	// reported are the results of which the report shows more than a line: those with violations, or that of a single run.
	reported []*soak.Result
	errs     []error
}

// play plays a plan and prints its result.
func (s *session) play(ctx context.Context, p plan.Plan) {
	if ctx.Err() != nil {
		return
	}
	out := s.options.Factory.IOStreams.Out
	stopProgress := s.showProgress(p)
	result, dir, err := s.run(ctx, p)
	stopProgress()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case ctx.Err() != nil:
		fmt.Fprintf(out, "seed %d was interrupted; see %s\n", p.Seed, dir)
	case err != nil:
		fmt.Fprintf(out, "seed %d did not run: %v; see %s\n", p.Seed, err, dir)
		s.errs = append(s.errs, err)
	case len(result.Violations) > 0:
		fmt.Fprintf(out, "%s; see %s\n", result.Summary(), dir)
		s.reported = append(s.reported, result)
		s.errs = append(s.errs, fmt.Errorf("seed %d: %w", p.Seed, ErrViolations))
		if s.options.Reduce {
			s.errs = append(s.errs, s.reduce(ctx, result, dir))
		}
	default:
		fmt.Fprintln(out, result.Summary())
		s.passed++
		if s.isSingle {
			s.reported = append(s.reported, result)
		}
	}
}

const (
	// maxReductionRuns bounds the reruns of a failing plan.
	maxReductionRuns = 100
	// reductionAttempts is the number of plays of a shorter plan before it counts as passed: processes are not scheduled alike in each run.
	reductionAttempts = 2
)

// reduce reruns a failing plan without single faults and writes the smallest one that still breaks one of the same promises.
func (s *session) reduce(ctx context.Context, result *soak.Result, dir string) error {
	out := s.options.Factory.IOStreams.Out
	reduced, err := plan.Reduce(result.Plan, maxReductionRuns, func(p plan.Plan) (bool, error) {
		for range reductionAttempts {
			rerun, _, err := s.run(ctx, p)
			if err != nil {
				return false, err
			}
			if rerun.BreaksPromiseOf(result) {
				fmt.Fprintf(out, "still fails with %d faults\n", len(p.Faults))

				return true, nil
			}
		}

		return false, nil
	})
	fmt.Fprintf(out, "smallest plan that fails:\n%s", reduced)

	return errors.Join(err, os.WriteFile(filepath.Join(dir, "reduced.txt"), []byte(reduced.String()), 0o600))
}

// run plays a plan in a directory of its own, which is removed if the run passes.
func (s *session) run(ctx context.Context, p plan.Plan) (*soak.Result, string, error) {
	parent := s.options.Keep
	if parent == "" {
		parent = os.TempDir()
	}
	if err := os.MkdirAll(parent, 0o750); err != nil {
		return nil, parent, err
	}
	dir, err := os.MkdirTemp(parent, fmt.Sprintf("seed-%d-", p.Seed))
	if err != nil {
		return nil, parent, err
	}
	result, err := soak.Run(ctx, soak.Options{Plan: p, Command: []string{s.executable}, Dir: dir})
	if err != nil {
		return nil, dir, err
	}
	if len(result.Violations) == 0 {
		return result, dir, os.RemoveAll(dir)
	}
	report, err := os.Create(filepath.Join(dir, "report.txt")) //nolint:gosec // a file in the run's directory
	if err != nil {
		return nil, dir, err
	}

	return result, dir, errors.Join(result.WriteReport(report), report.Close())
}

// progressInterval is the interval of lines on the progress of a run.
const progressInterval = time.Second

// showProgress shows on a terminal for how long a run has been playing, until the returned function is called.
func (s *session) showProgress(p plan.Plan) (stop func()) {
	if !s.isTerminal {
		return func() {}
	}
	done, ended := make(chan struct{}), make(chan struct{})
	begunAt := time.Now()
	go func() {
		defer close(ended)
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				fmt.Fprintf(s.options.Factory.IOStreams.Out, "\rseed %d: %s, faults for %s ", p.Seed, time.Since(begunAt).Round(time.Second), p.Duration)
			}
		}
	}()

	return func() {
		close(done)
		<-ended
		fmt.Fprint(s.options.Factory.IOStreams.Out, "\r")
	}
}

// isTerminal reports whether a stream is a terminal.
func isTerminal(stream any) bool {
	file, ok := stream.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()

	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
