package workspace

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
	"cardamomward/core/id"
	"cardamomward/core/settings"
)

// ListOptions are the options of workspace list.
type ListOptions struct {
	cmdutil.OperatorOptions
}

// Entry is a workspace with its effective settings, including inherited ones.
type Entry struct {
	Workspace id.Workspace      `json:"workspace"`
	Parent    id.Workspace      `json:"parent,omitempty"`
	Rate      settings.Rate     `json:"rate-per-second"`
	Burst     int64             `json:"burst"`
	Budget    id.Tokens         `json:"budget-tokens"`
	Weight    float64           `json:"weight"`
	Priority  settings.Priority `json:"priority"`
	// ProgramLease is a duration in Go syntax, such as 1h0m0s.
	ProgramLease string       `json:"program-lease"`
	Services     []id.Service `json:"services"`
}

// NewCmdList returns the command that lists workspaces.
func NewCmdList(f *cmdutil.Factory, runF func(context.Context, *ListOptions) error) *cli.Command {
	opts := &ListOptions{OperatorOptions: cmdutil.OperatorOptions{Factory: f}}

	return &cli.Command{
		Name:        "list",
		Usage:       "list the workspaces of the settings in force",
		Description: cmdutil.FormatExamples("cardamomward workspace list --operator 127.0.0.1:7002"),
		Flags:       opts.Flags(),
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
	for _, w := range tree.Fleet().SortedWorkspaces() {
		entries = append(entries, Entry{
			Workspace: w.ID, Parent: w.Parent, Rate: w.Rate, Burst: w.Burst, Budget: w.Budget, Weight: w.Weight,
			Priority: w.Priority, ProgramLease: w.ProgramLease.String(), Services: w.Services,
		})
	}
	header := cmdutil.Row{"workspace", "parent", "rate", "burst", "budget", "weight", "priority", "program-lease", "services"}

	return cmdutil.PrintResult(&opts.OperatorOptions, entries, header, tableRows)
}

func tableRows(entries []Entry) []cmdutil.Row {
	rows := make([]cmdutil.Row, 0, len(entries))
	for i := range entries {
		e := &entries[i]
		services := make([]string, len(e.Services))
		for j, service := range e.Services {
			services[j] = string(service)
		}
		rows = append(rows, cmdutil.Row{
			string(e.Workspace), string(e.Parent), fmt.Sprintf("%.4g/s", float64(e.Rate)), fmt.Sprint(e.Burst),
			fmt.Sprintf("%d tokens", e.Budget), fmt.Sprint(e.Weight), string(e.Priority), e.ProgramLease,
			strings.Join(services, ","),
		})
	}

	return rows
}
