package service

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
	"cardamomward/core/id"
	"cardamomward/core/settings"
)

// ListOptions are the options of service list.
type ListOptions struct {
	cmdutil.OperatorOptions
	// ListUpstreams lists the upstreams of the services in place of the services.
	ListUpstreams bool
}

// Entry is a service with its effective settings, including inherited ones.
type Entry struct {
	Service    id.Service    `json:"service"`
	Parent     id.Service    `json:"parent,omitempty"`
	Kind       settings.Kind `json:"kind,omitempty"`
	Model      id.Model      `json:"model,omitempty"`
	Idempotent bool          `json:"idempotent"`
	// KnowsOutcomes is true if the service can be queried for the outcome of the call with an idempotency key.
	KnowsOutcomes bool `json:"knows-outcomes"`
	// ChecksFence is true if the upstreams reject requests with an outdated fencing token.
	ChecksFence bool `json:"checks-fence"`
	// Timeout and ProgressTimeout are durations in Go syntax, such as 2s.
	Timeout         string     `json:"timeout"`
	ProgressTimeout string     `json:"progress-timeout"`
	MaxTokens       id.Tokens  `json:"max-tokens"`
	Upstreams       []Upstream `json:"upstreams"`
}

// Upstream is an upstream of a service.
type Upstream struct {
	Upstream      id.Upstream      `json:"upstream"`
	Address       string           `json:"address"`
	FailureDomain id.FailureDomain `json:"failure-domain"`
	Leaving       bool             `json:"leaving"`
}

// NewCmdList returns the command that lists services.
func NewCmdList(f *cmdutil.Factory, runF func(context.Context, *ListOptions) error) *cli.Command {
	opts := &ListOptions{OperatorOptions: cmdutil.OperatorOptions{Factory: f}}

	return &cli.Command{
		Name:  "list",
		Usage: "list the services of the settings in force",
		Description: cmdutil.FormatExamples("cardamomward service list --operator 127.0.0.1:7002",
			"cardamomward service list --operator 127.0.0.1:7002 --upstreams"),
		Flags: append(opts.Flags(),
			&cli.BoolFlag{Name: "upstreams", Usage: "list each upstream", Destination: &opts.ListUpstreams}),
		Action: func(ctx context.Context, _ *cli.Command) error {
			if runF != nil {
				return runF(ctx, opts)
			}

			return listRun(ctx, opts)
		},
	}
}

func listRun(ctx context.Context, opts *ListOptions) error {
	tree, _, err := cmdutil.FetchPublishedSettings(ctx, &opts.OperatorOptions)
	if err != nil {
		return err
	}
	entries := []Entry{}
	for _, s := range tree.Fleet().SortedServices() {
		entries = append(entries, newEntry(s))
	}
	if opts.ListUpstreams {
		header := cmdutil.Row{"upstream", "service", "address", "failure-domain", "leaving"}

		return cmdutil.PrintResult(&opts.OperatorOptions, entries, header, upstreamRows)
	}
	header := cmdutil.Row{"service", "parent", "kind", "model", "idempotent", "timeout", "progress-timeout", "max-tokens", "upstreams"}

	return cmdutil.PrintResult(&opts.OperatorOptions, entries, header, serviceRows)
}

func newEntry(s *settings.Service) Entry {
	entry := Entry{
		Service: s.ID, Parent: s.Parent, Kind: s.Kind, Model: s.Model, Idempotent: s.Idempotent,
		KnowsOutcomes: s.KnowsOutcomes, ChecksFence: s.ChecksFence, Timeout: s.Timeout.String(),
		ProgressTimeout: s.ProgressTimeout.String(), MaxTokens: s.MaxTokens, Upstreams: []Upstream{},
	}
	for _, u := range s.Upstreams {
		entry.Upstreams = append(entry.Upstreams, Upstream{
			Upstream: u.ID, Address: u.Address, FailureDomain: u.FailureDomain, Leaving: u.Leaving,
		})
	}

	return entry
}

func serviceRows(entries []Entry) []cmdutil.Row {
	rows := make([]cmdutil.Row, 0, len(entries))
	for i := range entries {
		e := &entries[i]
		rows = append(rows, cmdutil.Row{
			string(e.Service), string(e.Parent), string(e.Kind), string(e.Model), fmt.Sprint(e.Idempotent), e.Timeout,
			e.ProgressTimeout, fmt.Sprint(e.MaxTokens), fmt.Sprint(len(e.Upstreams)),
		})
	}

	return rows
}

func upstreamRows(entries []Entry) []cmdutil.Row {
	rows := []cmdutil.Row{}
	for i := range entries {
		for _, u := range entries[i].Upstreams {
			rows = append(rows, cmdutil.Row{
				string(u.Upstream), string(entries[i].Service), u.Address, string(u.FailureDomain), fmt.Sprint(u.Leaving),
			})
		}
	}

	return rows
}
