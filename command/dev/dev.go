package dev

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
	"cardamomward/command/demo"
	"cardamomward/core/id"
	"cardamomward/standin/fleet"
)

// DevOptions are the options of dev.
type DevOptions struct {
	demo.DemoOptions
	Workspace string
}

// startTimeout bounds the start of the cluster until its settings are in force.
const startTimeout = 15 * time.Second

// NewCmdDev returns the command that runs a local cluster until it is stopped.
func NewCmdDev(f *cmdutil.Factory, runF func(context.Context, *DevOptions) error) *cli.Command {
	opts := &DevOptions{DemoOptions: demo.DemoOptions{Factory: f}}

	return &cli.Command{
		Name:  "dev",
		Usage: "run stand-ins and hosts on loopback until stopped, with a key to try them",
		Description: cmdutil.FormatExamples("cardamomward dev", "cardamomward dev --settings examples/nyabugogo/fleet.yaml --workspace dispatch-desk",
			"cardamomward dev --verbosity 0 2> events.log"),
		Flags: append(demo.StartFlags(&opts.DemoOptions),
			&cli.StringFlag{Name: "workspace", Usage: "workspace of the key; one that can show most if not set", Destination: &opts.Workspace}),
		Action: func(ctx context.Context, _ *cli.Command) error {
			if runF != nil {
				return runF(ctx, opts)
			}

			return devRun(ctx, opts)
		},
	}
}

func devRun(ctx context.Context, opts *DevOptions) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM)
	defer stop()
	f, err := startFleet(ctx, opts)
	if err != nil {
		return err
	}
	defer f.Stop()
	if err := printInstructions(ctx, opts, f); err != nil {
		return err
	}
	<-ctx.Done()

	return nil
}

// startFleet starts the cluster within startTimeout. The timeout cancels the context only during the start, because the
// context also ends the running cluster.
func startFleet(ctx context.Context, opts *DevOptions) (*fleet.Fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(startTimeout, cancel)
	f, err := demo.StartFleet(ctx, &opts.DemoOptions)
	if !timer.Stop() || err != nil {
		cancel()
	}

	return f, err
}

func printInstructions(ctx context.Context, opts *DevOptions, f *fleet.Fleet) error {
	workspace := id.Workspace(opts.Workspace)
	model, ok := demo.SelectModel(f.Settings, &workspace)
	issued, err := f.OperatorClient(0).IssueKey(ctx, workspace)
	if err != nil {
		return err
	}
	w := opts.Factory.IOStreams.Out
	printAddresses(w, f)
	entry := f.Hosts[0].HostEntry()
	fmt.Fprintf(w, "\nkey of workspace %s:\n  %s\n", workspace, issued.BearerToken)
	if ok {
		fmt.Fprintf(w, "\ntry a model call:\n  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' "+
			"-H 'Content-Type: application/json' -d '{\"model\": \"%s\", \"stream\": true, "+
			"\"messages\": [{\"role\": \"user\", \"content\": \"Draft the rules for stand B12.\"}]}'\n", entry.CallerAddress, issued.BearerToken, model)
	} else {
		fmt.Fprintf(w, "\nopen a program:\n  curl http://%s/v1/programs -H 'Authorization: Bearer %s' "+
			"-H 'Content-Type: application/json' -d '{}'\n", entry.CallerAddress, issued.BearerToken)
	}
	fmt.Fprintf(w, "\noperate it:\n  export %s=%s\n  cardamomward status\n  cardamomward dump %s\n", cmdutil.OperatorAddressEnvVar, entry.OperatorAddress, entry.Host)
	_, err = fmt.Fprintln(w, "\nstop it with Ctrl-C")

	return err
}

func printAddresses(w io.Writer, f *fleet.Fleet) {
	fmt.Fprintf(w, "log at %s\nlist of hosts at %s\n", f.LogServer.Address(), f.HostList.Address())
	for _, host := range f.Hosts {
		entry := host.HostEntry()
		fmt.Fprintf(w, "%s in %s: callers at %s, operators at %s, hosts at %s\n",
			entry.Host, entry.FailureDomain, entry.CallerAddress, entry.OperatorAddress, entry.PeerAddress)
	}
	for _, name := range slices.SortedFunc(maps.Keys(f.Engines), cmp.Compare) {
		fmt.Fprintf(w, "engine %s at %s\n", name, f.Engines[name].Address())
	}
	for _, name := range slices.SortedFunc(maps.Keys(f.Services), cmp.Compare) {
		fmt.Fprintf(w, "service %s at %s\n", name, f.Services[name].Address())
	}
}
