package program

import (
	"fmt"

	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
	"cardamomward/io/caller"
)

// NewCmdProgram returns the command with a subcommand for each verb.
func NewCmdProgram(f *cmdutil.Factory) *cli.Command {
	return &cli.Command{
		Name:     "program",
		Usage:    "list, show and end programs",
		Commands: []*cli.Command{NewCmdList(f, nil), NewCmdShow(f, nil), NewCmdEnd(f, nil)},
	}
}

var header = cmdutil.Row{"program", "workspace", "name", "state", "end-reason", "turns", "used", "budget", "host"}

func row(p *caller.Program) cmdutil.Row {
	return cmdutil.Row{
		string(p.ID), string(p.Workspace), p.Name, p.State, p.EndReason, fmt.Sprint(p.TurnCount), fmt.Sprint(p.UsedTokens), fmt.Sprint(p.BudgetTokens), string(p.Host),
	}
}

// printProgram prints one program.
func printProgram(opts *cmdutil.OperatorOptions, program caller.Program) error {
	return cmdutil.Print(opts, program, header, func(p caller.Program) []cmdutil.Row { return []cmdutil.Row{row(&p)} })
}
