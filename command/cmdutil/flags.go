package cmdutil

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

// OperatorVariable is the environment variable that names a host's operator address.
const OperatorVariable = "CARDAMOMWARD_OPERATOR"

// operatorName is the name of the flag for a host's operator address.
const operatorName = "operator"

// OperatorFlag returns the flag for a host's operator address.
func OperatorFlag(target *string) cli.Flag { return operatorFlag(target, true) }

// OptionalOperatorFlag is OperatorFlag for commands that can do without.
func OptionalOperatorFlag(target *string) cli.Flag { return operatorFlag(target, false) }

func operatorFlag(target *string, required bool) cli.Flag {
	return &cli.StringFlag{
		Name:        operatorName,
		Usage:       "operator address of any host, an IP number and port",
		Sources:     cli.NewValueSourceChain(variable(OperatorVariable)),
		Required:    required,
		Destination: target,
	}
}

// variable is an environment variable that counts as absent while it is empty.
type variable string

// Lookup returns the variable's value.
func (v variable) Lookup() (string, bool) {
	value := os.Getenv(string(v))

	return value, value != ""
}

// IsFromEnv tells the help that the source is an environment variable.
func (v variable) IsFromEnv() bool { return true }

// Key returns the variable's name.
func (v variable) Key() string { return string(v) }

func (v variable) String() string { return fmt.Sprintf("environment variable %q", string(v)) }

// GoString returns the variable as Go code.
func (v variable) GoString() string { return fmt.Sprintf("variable(%q)", string(v)) }

// CheckOperator reports an operator address that is none, for commands that have the flag.
func CheckOperator(cmd *cli.Command) error {
	address := cmd.String(operatorName)
	if address == "" {
		return nil
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return Usage("--operator or %s is %q, which is not an IP number and port such as 127.0.0.1:7002", OperatorVariable, address)
	}

	return nil
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
