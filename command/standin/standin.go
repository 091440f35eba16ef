package standin

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
	"cardamomward/core/id"
	"cardamomward/standin/engine"
	"cardamomward/standin/hostlist"
	"cardamomward/standin/logserver"
	"cardamomward/standin/service"
)

// server is the common interface of the stand-ins.
type server interface {
	Start()
	Address() string
	Close(ctx context.Context) error
}

// NewCmdStandin returns the command with a subcommand for each stand-in.
func NewCmdStandin(f *cmdutil.Factory) *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run a stand-in of the platform or of an upstream",
		Description: cmdutil.FormatExamples(
			"cardamomward standin log --address 127.0.0.1:7100",
			"curl -X PUT http://127.0.0.1:7100/v1/faults -d '{\"down\": true}'"),
		Commands: []*cli.Command{newCmdLog(f), newCmdHosts(f), newCmdEngine(f), newCmdService(f)},
	}
}

// closeTimeout bounds closing a stand-in.
const closeTimeout = time.Second

// serveUntilDone starts a stand-in, prints its address, and closes it when ctx is done.
func serveUntilDone(ctx context.Context, f *cmdutil.Factory, name string, s server) error {
	s.Start()
	if _, err := fmt.Fprintf(f.IOStreams.Out, "%s listens on %s\n", name, s.Address()); err != nil {
		return err
	}
	<-ctx.Done()
	closing, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()

	return s.Close(closing)
}

func addressFlag(target *string) cli.Flag {
	return &cli.StringFlag{
		Name: "address", Usage: "IP number and port to listen on; port 0 takes a free one", Value: "127.0.0.1:0", Destination: target,
	}
}

func newCmdLog(f *cmdutil.Factory) *cli.Command {
	var address string

	return &cli.Command{
		Name:  "log",
		Usage: "run the append-only log",
		Flags: []cli.Flag{addressFlag(&address)},
		Action: func(ctx context.Context, _ *cli.Command) error {
			s, err := logserver.New(address)
			if err != nil {
				return err
			}

			return serveUntilDone(ctx, f, "log", s)
		},
	}
}

func newCmdHosts(f *cmdutil.Factory) *cli.Command {
	var address string
	var lag time.Duration

	return &cli.Command{
		Name:  "hosts",
		Usage: "run the list of hosts",
		Flags: []cli.Flag{
			addressFlag(&address),
			&cli.DurationFlag{Name: "lag", Usage: "how long a change takes to show", Destination: &lag},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			s, err := hostlist.New(address, lag)
			if err != nil {
				return err
			}

			return serveUntilDone(ctx, f, "hosts", s)
		},
	}
}

func newCmdEngine(f *cmdutil.Factory) *cli.Command {
	var config engine.Config
	var cacheTokens int64

	return &cli.Command{
		Name:  "engine",
		Usage: "run a model engine",
		Flags: []cli.Flag{
			addressFlag(&config.Address),
			&cli.StringFlag{Name: "model", Usage: "name of the model", Destination: &config.Model},
			&cli.IntFlag{Name: "slots", Usage: "requests that run at a time", Destination: &config.MaxConcurrentRequests},
			&cli.Float64Flag{Name: "prefill", Usage: "prompt tokens computed a second", Destination: &config.PrefillTokensPerSecond},
			&cli.DurationFlag{Name: "token-interval", Usage: "time between two tokens", Destination: &config.TokenInterval},
			&cli.DurationFlag{Name: "load-lag", Usage: "age of load reports", Destination: &config.LoadReportDelay},
			&cli.Int64Flag{Name: "cache-tokens", Usage: "capacity of the prefix cache", Destination: &cacheTokens},
			&cli.BoolFlag{Name: "ignore-fence", Usage: "take requests with an old fencing number", Destination: &config.IgnoreFencingToken},
			&cli.Float64Flag{
				Name: "batch-slowdown", Usage: "growth of the token interval with each further request", Destination: &config.BatchSlowdown,
			},
			&cli.DurationFlag{Name: "keepalive", Usage: "time between signs of life; negative for none", Destination: &config.KeepaliveInterval},
			&cli.DurationFlag{Name: "event-lag", Usage: "how late cache events appear", Destination: &config.CacheEventDelay},
			&cli.Uint64Flag{Name: "event-gap", Usage: "lose every so many-th cache event", Destination: &config.DropEveryNthCacheEvent},
			&cli.BoolFlag{Name: "crash-exits", Usage: "end the process when a request crashes it", Destination: &config.ExitOnCrash},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			config.CacheTokens = id.Tokens(cacheTokens)
			s, err := engine.New(config)
			if err != nil {
				return err
			}

			return serveUntilDone(ctx, f, "engine", s)
		},
	}
}

func newCmdService(f *cmdutil.Factory) *cli.Command {
	var config service.Config

	return &cli.Command{
		Name:  "service",
		Usage: "run a plain service",
		Flags: []cli.Flag{
			addressFlag(&config.Address),
			&cli.BoolFlag{Name: "idempotent", Usage: "run each idempotency key once", Destination: &config.Idempotent},
			&cli.BoolFlag{Name: "knows-outcomes", Usage: "tell what became of a key", Destination: &config.KnowsOutcomes},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			s, err := service.New(config)
			if err != nil {
				return err
			}

			return serveUntilDone(ctx, f, "service", s)
		},
	}
}
