package cmdutil

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

// OperatorVariable is the environment variable that names a host's operator address.
const OperatorVariable = "CARDAMOMWARD_OPERATOR"

// OperatorFlag returns the flag for a host's operator address.
func OperatorFlag(target *string) cli.Flag { return operatorFlag(target, true) }

// OptionalOperatorFlag is OperatorFlag for commands that can do without.
func OptionalOperatorFlag(target *string) cli.Flag { return operatorFlag(target, false) }

func operatorFlag(target *string, required bool) cli.Flag {
	return &cli.StringFlag{
		Name:        "operator",
		Usage:       "operator address of any host, an IP number and port",
		Sources:     cli.EnvVars(OperatorVariable),
		Required:    required,
		Destination: target,
	}
}

// JSONFlag returns the flag for output that programs read.
func JSONFlag(target *bool) cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print JSON", Destination: target}
}

// PrintJSON prints a value for programs.
func PrintJSON(streams IOStreams, value any) error {
	encoder := json.NewEncoder(streams.Out)
	encoder.SetIndent("", "  ")

	return encoder.Encode(value)
}

// Row is one line of a table.
type Row []string

// PrintTable prints rows under a header for people.
func PrintTable(streams IOStreams, header Row, rows []Row) error {
	const padding = 2
	w := tabwriter.NewWriter(streams.Out, 0, 0, padding, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(header, "\t")))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}

	return w.Flush()
}

// Example formats the examples of a command's help.
func Example(lines ...string) string {
	return "Example:\n  " + strings.Join(lines, "\n  ")
}
