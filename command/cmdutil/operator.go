package cmdutil

import (
	"context"
	"net/netip"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/core/settings"
	"cardamomward/io/httpx"
	"cardamomward/io/operatorapi"
)

// OperatorOptions are the common options of commands that use the operator API of a host.
type OperatorOptions struct {
	Factory *Factory
	// OperatorAddress is the operator address of any host.
	OperatorAddress string
	JSON            bool
}

// Flags returns the flags for the operator address and for JSON output.
func (o *OperatorOptions) Flags() []cli.Flag {
	return []cli.Flag{OperatorFlag(&o.OperatorAddress), JSONFlag(&o.JSON)}
}

// OperatorClient returns a client of the operator API at the operator address.
func (o *OperatorOptions) OperatorClient() *operatorapi.Client {
	return o.Factory.OperatorClient(o.OperatorAddress)
}

// PrintResult prints a value as JSON, or as a table with the rows that toRows returns.
func PrintResult[T any](o *OperatorOptions, value T, header Row, toRows func(T) []Row) error {
	if o.JSON {
		return PrintJSON(o.Factory.IOStreams, value)
	}

	return PrintTable(o.Factory.IOStreams, header, toRows(value))
}

// ResolveHost returns a client of a host that is given by its name or by its operator address.
func ResolveHost(ctx context.Context, o *OperatorOptions, host string) (*operatorapi.Client, error) {
	if host == "" {
		return nil, NewUsageError("name a host; see host list")
	}
	if _, err := netip.ParseAddrPort(host); err == nil {
		return o.Factory.OperatorClient(host), nil
	}
	if o.OperatorAddress == "" {
		return nil, NewUsageError("set --operator or %s to any host's operator address to find the host %q by its name", OperatorAddressEnvVar, host)
	}
	status, err := o.OperatorClient().GetClusterStatus(ctx)
	if err != nil {
		return nil, err
	}
	for _, candidate := range status.Hosts {
		if candidate.Host == id.Host(host) {
			return o.Factory.OperatorClient(candidate.OperatorAddress), nil
		}
	}

	return nil, apierror.New(apierror.NotFound, "there is no host %q; see host list", host)
}

// FetchPublishedSettings returns the published settings, parsed and as the host sent them. It returns an apierror.Error of
// kind NotFound if none are published, and prints the findings and returns a UsageError if they are invalid.
func FetchPublishedSettings(ctx context.Context, o *OperatorOptions) (*settings.Tree, operatorapi.SettingsDocument, error) {
	current, err := o.OperatorClient().GetSettings(ctx)
	if err != nil {
		return nil, current, err
	}
	if current.Document == "" {
		return nil, current, apierror.New(apierror.NotFound, "no settings are published yet; see settings publish")
	}
	tree, findings := settings.ParseTree("settings", []byte(current.Document))
	if err := ReportFindings(o.Factory.IOStreams.Err, findings); err != nil {
		return nil, current, err
	}

	return tree, current, nil
}

// Hint returns what to do next about an error, empty if the error itself says so.
func Hint(err error) string {
	if errorx.IsOfType(err, httpx.ErrNoResponse) {
		return "no answer; check the address in --operator, " + OperatorAddressEnvVar + " or --gateway, or ask another host: all know the same. " +
			"A change may still have come into force: look before you repeat it"
	}

	return ""
}

// HostStateText returns "live", "leaving" while the host drains, or "silent" if its heartbeats have stopped.
func HostStateText(h *operatorapi.HostStatus) string {
	switch {
	case !h.Live:
		return "silent"
	case h.Leaving:
		return "leaving"
	default:
		return "live"
	}
}
