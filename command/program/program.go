package program

import (
	"fmt"

	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
	"cardamomward/io/caller"
)

// NewCmdProgram returns the program command with its subcommands.
func NewCmdProgram(f *cmdutil.Factory) *cli.Command {
	return &cli.Command{
		Name:     "program",
		Usage:    "list, show and end programs",
		Commands: []*cli.Command{NewCmdList(f, nil), NewCmdShow(f, nil), NewCmdEnd(f, nil)},
	}
}

var tableHeader = cmdutil.Row{"program", "workspace", "name", "state", "end-reason", "turns", "used", "budget", "host"}

func tableRow(p *caller.Program) cmdutil.Row {
	return cmdutil.Row{
		string(p.ID), string(p.Workspace), p.Name, p.State, p.EndReason, fmt.Sprint(p.TurnCount), fmt.Sprint(p.UsedTokens), fmt.Sprint(p.BudgetTokens), string(p.Host),
	}
}

func printProgram(opts *cmdutil.OperatorOptions, program caller.Program) error {
	return cmdutil.PrintResult(opts, program, tableHeader, func(p caller.Program) []cmdutil.Row { return []cmdutil.Row{tableRow(&p)} })
}
