package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
	"cardamomward/core/id"
	"cardamomward/io/gatewayhost"
	"cardamomward/io/httpx"
	"cardamomward/io/reverseproxy"
)

// ExplainOptions are the options of gateway explain.
type ExplainOptions struct {
	Factory *cmdutil.Factory
	// Address is the address of the gateway host's metrics port.
	Address   string
	TokenFile string
	Query     reverseproxy.PlacementQuery
	// PromptParts are written as ID:TOKENS.
	PromptParts []string
	JSON        bool
}

// NewCmdExplain returns the command that shows where a gateway host would send a request now, and why.
func NewCmdExplain(f *cmdutil.Factory, runF func(context.Context, *ExplainOptions) error) *cli.Command {
	opts := &ExplainOptions{Factory: f}
	text := func(name, usage string, required bool, target *string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: usage, Required: required, Destination: target}
	}

	return &cli.Command{
		Name:  "explain",
		Usage: "show where a gateway host would send a request now, and why, without sending it",
		Description: cmdutil.FormatExamples(
			"cardamomward gateway explain --gateway 192.0.2.1:9100 --token-file operator.token --host agents.example --path /draft/x",
			"cardamomward gateway explain --gateway 192.0.2.1:9100 --token-file operator.token --route draft --prompt-part aa:12600 --json"),
		Flags: []cli.Flag{
			text("gateway", "address of the host's metrics port, an IP number and port", true, &opts.Address),
			text("token-file", "file with the token of the host's operator endpoint", true, &opts.TokenFile),
			text("route", "name of the request's route, instead of its host and path", false, &opts.Query.Route),
			text("host", "HTTP host name of the request", false, &opts.Query.Host),
			text("path", "path of the request", false, &opts.Query.Path),
			text("workspace", "workspace of the request", false, (*string)(&opts.Query.Workspace)),
			text("session", "session of the request", false, &opts.Query.Session),
			text("affinity-key", "key that groups related requests, without a session", false, &opts.Query.AffinityKey),
			&cli.StringSliceFlag{Name: "prompt-part", Usage: "part of the prompt as ID:TOKENS; several in their order", Destination: &opts.PromptParts},
			&cli.Int64Flag{Name: "max-tokens", Usage: "maximum of output tokens", Destination: (*int64)(&opts.Query.MaxTokens)},
			text("last-upstream", "upstream of the session's previous turn", false, (*string)(&opts.Query.LastUpstream)),
			&cli.Int64Flag{Name: "cached-tokens", Usage: "prompt tokens that the last upstream caches", Destination: (*int64)(&opts.Query.CachedTokens)},
			text("stream-version", "version of the upstream that began the stream", false, (*string)(&opts.Query.StreamVersion)),
			cmdutil.JSONFlag(&opts.JSON),
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			if runF != nil {
				return runF(ctx, opts)
			}

			return explainRun(ctx, opts)
		},
	}
}

func explainRun(ctx context.Context, opts *ExplainOptions) error {
	if _, err := netip.ParseAddrPort(opts.Address); err != nil {
		return cmdutil.NewUsageError("--gateway is %q, which is not an IP number and port such as 192.0.2.1:9100", opts.Address)
	}
	if opts.Query.Route == "" && (opts.Query.Host == "" || opts.Query.Path == "") {
		return cmdutil.NewUsageError("give --route, or --host and --path")
	}
	for _, text := range opts.PromptParts {
		part, err := parsePromptPart(text)
		if err != nil {
			return err
		}
		opts.Query.PromptParts = append(opts.Query.PromptParts, part)
	}
	token, err := readToken(opts.Factory, opts.TokenFile)
	if err != nil {
		return err
	}
	client := *opts.Factory.HTTPClient
	client.Transport = &bearerTransport{token: token, base: client.Transport}
	var explanation reverseproxy.PlacementExplanation
	err = httpx.SendJSON(ctx, &client, http.MethodPost, "http://"+opts.Address+gatewayhost.ExplainPath, opts.Query, &explanation)
	if err != nil {
		return err
	}
	if opts.JSON {
		return cmdutil.PrintJSON(opts.Factory.IOStreams, explanation)
	}

	return printExplanation(opts.Factory.IOStreams, &explanation)
}

// bearerTransport adds a bearer token to requests.
type bearerTransport struct {
	token string
	base  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (b *bearerTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	base := b.base
	if base == nil {
		base = http.DefaultTransport
	}
	req = req.Clone(req.Context())
	req.Header.Set("Authorization", "Bearer "+b.token)

	return base.RoundTrip(req)
}

// readToken reads the token of the operator endpoint from a file.
func readToken(f *cmdutil.Factory, name string) (string, error) {
	data, err := f.ReadFile(name)
	if err != nil {
		return "", cmdutil.NewUsageError("read the operator token: %v", err)
	}
	token := strings.TrimSpace(string(data))
	if token == "" {
		return "", cmdutil.NewUsageError("the file %s has no operator token", name)
	}

	return token, nil
}

func parsePromptPart(text string) (reverseproxy.PromptPartQuery, error) {
	part, tokens, _ := strings.Cut(text, ":")
	count, err := strconv.Atoi(tokens)
	if err != nil || part == "" || count < 0 {
		return reverseproxy.PromptPartQuery{}, cmdutil.NewUsageError("--prompt-part is %q, which is not ID:TOKENS such as aa:12600", text)
	}

	return reverseproxy.PromptPartQuery{ID: part, Tokens: id.Tokens(count)}, nil
}

// printExplanation prints the candidates in their order, and after them the upstreams that are excluded.
func printExplanation(streams cmdutil.IOStreams, e *reverseproxy.PlacementExplanation) error {
	chosen := string(e.Chosen)
	if chosen == "" {
		chosen = "none"
	}
	fmt.Fprintf(streams.Out, "host %s, route %s, service %s, chosen %s, store read %s ago, limit exhausted %t, compares sample %t\n\n",
		e.GatewayHost, e.Route, e.Service, chosen, formatMillis(e.StoreAgeMS), e.LimitExhausted, e.ComparesSample)
	header := cmdutil.Row{"upstream", "failure-domain", "version", "cost-ms", "prefill", "decode", "queueing", "failures", "domain", "admission", "interference", "preemption", "cold", "running", "unit-ms", "latency-age", "excluded"}
	rows := make([]cmdutil.Row, 0, len(e.Candidates)+len(e.Excluded))
	for i := range e.Candidates {
		c := &e.Candidates[i]
		age := "unknown"
		if c.LatencyAgeMS != nil {
			age = formatMillis(*c.LatencyAgeMS)
		}
		row := cmdutil.Row{string(c.Upstream), string(c.FailureDomain), string(c.Version)}
		for _, ms := range []float64{c.CostMS, c.PrefillMS, c.DecodeMS, c.QueueingMS, c.FailuresMS, c.FailureDomainMS, c.AdmissionDelayMS} {
			row = append(row, fmt.Sprintf("%.1f", ms))
		}
		if c.Learned == nil {
			row = append(row, "-", "-")
		} else {
			row = append(row, fmt.Sprintf("%.1f", c.Learned.InterferenceMS), fmt.Sprintf("%.1f", c.Learned.PreemptionMS))
		}
		cold := "no"
		if c.Cold {
			cold = "yes"
		}
		rows = append(rows, append(row, cold, strconv.Itoa(c.RunningRequests), fmt.Sprintf("%.2f", c.UnitLatencyMS), age, "no"))
	}
	for _, excluded := range e.Excluded {
		row := make(cmdutil.Row, len(header))
		row[0], row[len(row)-1] = string(excluded.Upstream), string(excluded.Reason)
		rows = append(rows, row)
	}

	return cmdutil.PrintTable(streams, header, rows)
}

func formatMillis(ms float64) string {
	return (time.Duration(ms) * time.Millisecond).String()
}
