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

// OperatorAddressEnvVar is the environment variable with the default of --operator.
const OperatorAddressEnvVar = "CARDAMOMWARD_OPERATOR"

// operatorFlagName is the name of the flag for a host's operator address.
const operatorFlagName = "operator"

// OperatorFlag returns the required flag for a host's operator address.
func OperatorFlag(target *string) cli.Flag { return newOperatorFlag(target, true) }

// OptionalOperatorFlag returns the flag for a host's operator address for commands that do not require it.
func OptionalOperatorFlag(target *string) cli.Flag { return newOperatorFlag(target, false) }

func newOperatorFlag(target *string, required bool) cli.Flag {
	return &cli.StringFlag{
		Name:        operatorFlagName,
		Usage:       "operator address of any host, an IP number and port",
		Sources:     cli.NewValueSourceChain(variable(OperatorAddressEnvVar)),
		Required:    required,
		Destination: target,
	}
}

// variable is an environment variable as the source of a flag's value; an empty variable counts as unset.
type variable string

// Lookup returns the variable's value and whether it is set.
func (v variable) Lookup() (string, bool) {
	value := os.Getenv(string(v))

	return value, value != ""
}

// IsFromEnv reports that the source is an environment variable.
func (v variable) IsFromEnv() bool { return true }

// Key returns the variable's name.
func (v variable) Key() string { return string(v) }

func (v variable) String() string { return fmt.Sprintf("environment variable %q", string(v)) }

// GoString returns the variable in Go syntax.
func (v variable) GoString() string { return fmt.Sprintf("variable(%q)", string(v)) }

// ValidateOperatorAddress returns a UsageError if the command's operator address is set and is not an IP address and port.
func ValidateOperatorAddress(cmd *cli.Command) error {
	address := cmd.String(operatorFlagName)
	if address == "" {
		return nil
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return NewUsageError("--operator or %s is %q, which is not an IP number and port such as 127.0.0.1:7002", OperatorAddressEnvVar, address)
	}

	return nil
}

// JSONFlag returns the flag that selects JSON output.
func JSONFlag(target *bool) cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print JSON", Destination: target}
}

// PrintJSON prints a value as indented JSON.
func PrintJSON(streams IOStreams, value any) error {
	encoder := json.NewEncoder(streams.Out)
	encoder.SetIndent("", "  ")

	return encoder.Encode(value)
}

// Row is one line of a table.
type Row []string

// PrintTable prints a header in upper case and rows as aligned columns.
func PrintTable(streams IOStreams, header Row, rows []Row) error {
	const padding = 2
	w := tabwriter.NewWriter(streams.Out, 0, 0, padding, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(header, "\t")))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}

	return w.Flush()
}

// FormatExamples formats example command lines for a command's help.
func FormatExamples(lines ...string) string {
	return "Example:\n  " + strings.Join(lines, "\n  ")
}
