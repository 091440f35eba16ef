package serve

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
	"cardamomward/io/daemon"
)

// ServeOptions are the options of serve.
type ServeOptions struct {
	Factory *cmdutil.Factory
	// SettingsFile is the file with the host's own settings.
	SettingsFile string
	// Verbosity is the highest level of log events to write.
	Verbosity int
}

// NewCmdServe returns the command that runs a host.
func NewCmdServe(f *cmdutil.Factory, runF func(context.Context, *ServeOptions) error) *cli.Command {
	opts := &ServeOptions{Factory: f}

	return &cli.Command{
		Name:        "serve",
		Usage:       "run a host",
		Description: cmdutil.FormatExamples("cardamomward serve --settings host.yaml"),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "file with the host's own settings", Required: true, Destination: &opts.SettingsFile},
			&cli.IntFlag{Name: "verbosity", Usage: "write events up to this level", Destination: &opts.Verbosity},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			if runF != nil {
				return runF(ctx, opts)
			}

			return serveRun(ctx, opts)
		},
	}
}

func serveRun(ctx context.Context, opts *ServeOptions) error {
	source, err := opts.Factory.ReadFile(opts.SettingsFile)
	if err != nil {
		return cmdutil.NewUsageError("read %s: %v", opts.SettingsFile, err)
	}
	config, findings := daemon.LoadConfig(opts.SettingsFile, source)
	if len(findings) > 0 {
		return cmdutil.ReportFindings(opts.Factory.IOStreams.Err, findings)
	}
	host, err := daemon.New(config, daemon.Options{Logger: opts.Factory.Logger(opts.Verbosity)})
	if err != nil {
		return err
	}
	terminated, stopNotify := signal.NotifyContext(ctx, syscall.SIGTERM)
	defer stopNotify()
	go func() {
		<-terminated.Done()
		host.StartDrain()
	}()

	return host.Run(ctx)
}
