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

// OperatorOptions are what all commands that ask a host have in common.
type OperatorOptions struct {
	Factory *Factory
	// Address is the operator address of any host.
	Address string
	JSON    bool
}

// Flags returns the flags for the address and for JSON.
func (o *OperatorOptions) Flags() []cli.Flag {
	return []cli.Flag{OperatorFlag(&o.Address), JSONFlag(&o.JSON)}
}

// Client returns a client for the host that the options name.
func (o *OperatorOptions) Client() *operatorapi.Client { return o.Factory.Operator(o.Address) }

// Print prints a value as JSON or as the table that rows makes of it.
func Print[T any](o *OperatorOptions, value T, header Row, rows func(T) []Row) error {
	if o.JSON {
		return PrintJSON(o.Factory.IOStreams, value)
	}

	return PrintTable(o.Factory.IOStreams, header, rows(value))
}

// ResolveHost returns a client for a host that is given by its name or by its operator address.
func ResolveHost(ctx context.Context, o *OperatorOptions, host string) (*operatorapi.Client, error) {
	if host == "" {
		return nil, Usage("name a host; see host list")
	}
	if _, err := netip.ParseAddrPort(host); err == nil {
		return o.Factory.Operator(host), nil
	}
	if o.Address == "" {
		return nil, Usage("set --operator or %s to any host's operator address to find the host %q by its name", OperatorVariable, host)
	}
	status, err := o.Client().GetClusterStatus(ctx)
	if err != nil {
		return nil, err
	}
	for _, candidate := range status.Hosts {
		if candidate.Host == id.Host(host) {
			return o.Factory.Operator(candidate.OperatorAddress), nil
		}
	}

	return nil, apierror.New(apierror.NotFound, "there is no host %q; see host list", host)
}

// PublishedSettings returns the settings in force as a tree.
func PublishedSettings(ctx context.Context, o *OperatorOptions) (*settings.Tree, operatorapi.SettingsDocument, error) {
	current, err := o.Client().GetSettings(ctx)
	if err != nil {
		return nil, current, err
	}
	if current.Document == "" {
		return nil, current, apierror.New(apierror.NotFound, "no settings are published yet; see settings publish")
	}
	tree, findings := settings.ParseTree("settings", []byte(current.Document))
	if err := Findings(o.Factory.IOStreams.Err, findings); err != nil {
		return nil, current, err
	}

	return tree, current, nil
}

// Advice says what to do next about an error; it is empty where the error says so itself.
func Advice(err error) string {
	if errorx.IsOfType(err, httpx.ErrNoResponse) {
		return "no answer; check the address in --operator or " + OperatorVariable + ", or ask another host: all know the same. " +
			"A change may still have come into force: look before you repeat it"
	}

	return ""
}

// HostState returns a host's state in one word.
func HostState(h *operatorapi.HostStatus) string {
	switch {
	case !h.Live:
		return "silent"
	case h.Leaving:
		return "leaving"
	default:
		return "live"
	}
}
