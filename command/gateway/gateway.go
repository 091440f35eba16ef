// Package gateway contains the command that runs a gateway host on the users' platform.
package gateway

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
	"cardamomward/core/gatewaysettings"
	"cardamomward/io/gatewayhost"
	"cardamomward/io/logfmt"
	"cardamomward/platform"
)

// GatewayOptions are the options of gateway.
type GatewayOptions struct {
	Factory *cmdutil.Factory
	// SettingsFile is the platform's settings file of the host.
	SettingsFile string
	// GatewaySettingsFile is the YAML file with the settings of the gateway's optional parts; empty disables them.
	GatewaySettingsFile string
	// Verbosity is the highest level of log events to write.
	Verbosity int
	// MetricsPort is the port on which the host serves its metrics as text; zero disables them.
	MetricsPort int
	// OperatorTokenFile has the bearer token of the operator endpoint on the metrics port; empty disables the endpoint.
	OperatorTokenFile string
}

// NewCmdGateway returns the command that runs a gateway host, which serves callers and forwards their requests to upstreams.
func NewCmdGateway(f *cmdutil.Factory, runF func(context.Context, *GatewayOptions) error) *cli.Command {
	opts := &GatewayOptions{Factory: f}

	return &cli.Command{
		Name:        "gateway",
		Usage:       "run an entry host on the users' platform",
		Description: cmdutil.FormatExamples("cardamomward gateway --settings settings.json"),
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "settings", Usage: "file with the platform's settings of the host", Destination: &opts.SettingsFile,
				Sources: cli.EnvVars(platform.SettingsFileEnvVar),
			},
			&cli.StringFlag{Name: "gateway-settings", Usage: "YAML file with the settings of optional parts", Destination: &opts.GatewaySettingsFile},
			&cli.IntFlag{Name: "metrics-port", Usage: "serve counters as text on this port of the host", Destination: &opts.MetricsPort},
			&cli.StringFlag{
				Name: "operator-token-file", Usage: "file with the token of the operator endpoint on the metrics port", Destination: &opts.OperatorTokenFile,
			},
			&cli.IntFlag{Name: "verbosity", Usage: "write events up to this level", Destination: &opts.Verbosity},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			if runF != nil {
				return runF(ctx, opts)
			}

			return gatewayRun(ctx, opts)
		},
		Commands: []*cli.Command{NewCmdExplain(f, nil)},
	}
}

func gatewayRun(ctx context.Context, opts *GatewayOptions) error {
	settings, err := platform.LoadSettings(opts.SettingsFile)
	if err != nil {
		return cmdutil.NewUsageError("%v", err)
	}
	gatewaySettings, err := loadGatewaySettings(opts.GatewaySettingsFile)
	if err != nil {
		return err
	}
	operatorToken := ""
	if opts.OperatorTokenFile != "" {
		if opts.MetricsPort == 0 {
			return cmdutil.NewUsageError("--operator-token-file needs --metrics-port, the port of the operator endpoint")
		}
		if operatorToken, err = readToken(opts.Factory, opts.OperatorTokenFile); err != nil {
			return err
		}
	}
	out := logfmt.NewAsyncWriter(opts.Factory.IOStreams.Out)
	defer out.Close() //nolint:errcheck // Close always returns nil
	logger := logfmt.New(out, opts.Factory.Now, opts.Verbosity)
	gatewayhost.LimitMemory(settings.MemoryBytes)
	host := gatewayhost.New(settings, logger, opts.Factory.Now)
	host.MetricsPort, host.OperatorToken = opts.MetricsPort, operatorToken
	host.Configure(gatewaySettings)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(signals)
	go func() {
		for s := range signals {
			if s == syscall.SIGTERM {
				host.Drain(ctx)

				continue
			}
			logger.Info("reloaded", "host", settings.Name)
		}
	}()

	return host.Run(ctx)
}

// loadGatewaySettings reads the settings of the gateway's optional parts; without a file all of them are disabled.
func loadGatewaySettings(file string) (*gatewaysettings.Settings, error) {
	if file == "" {
		return &gatewaysettings.Settings{}, nil
	}
	source, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, cmdutil.NewUsageError("read the gateway settings: %v", err)
	}
	settings, findings := gatewaysettings.Parse(file, source)
	if len(findings) > 0 {
		lines := make([]string, 0, len(findings))
		for _, finding := range findings {
			lines = append(lines, finding.String())
		}

		return nil, cmdutil.NewUsageError("%s", strings.Join(lines, "\n"))
	}

	return settings, nil
}
