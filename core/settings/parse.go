package settings

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"cardamomward/core/id"
)

// Finding is one mistake in a settings document, with its place.
type Finding struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Key    string `json:"key"`
	// Problem says what is wrong and what is allowed.
	Problem string `json:"problem"`
}

func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Key, f.Problem)
}

// document is a settings file as written.
type document struct {
	OpenRoutes []string                 `yaml:"open-routes"`
	Workspaces map[string]workspaceNode `yaml:"workspaces"`
	Services   map[string]serviceNode   `yaml:"services"`
}

type workspaceNode struct {
	Rate         string                   `yaml:"rate"`
	Burst        int64                    `yaml:"burst"`
	Budget       string                   `yaml:"budget"`
	Weight       float64                  `yaml:"weight"`
	Priority     Priority                 `yaml:"priority"`
	ProgramLease time.Duration            `yaml:"program-lease"`
	Services     []id.Service             `yaml:"services"`
	Workspaces   map[string]workspaceNode `yaml:"workspaces"`
}

type serviceNode struct {
	Kind          Kind                   `yaml:"kind"`
	Model         id.Model               `yaml:"model"`
	Idempotent    *bool                  `yaml:"idempotent"`
	KnowsOutcomes *bool                  `yaml:"knows-outcomes"`
	ChecksFence   *bool                  `yaml:"checks-fence"`
	Timeout       time.Duration          `yaml:"timeout"`
	Progress      time.Duration          `yaml:"progress-timeout"`
	MaxTokens     string                 `yaml:"max-tokens"`
	Upstreams     []upstreamNode         `yaml:"upstreams"`
	Services      map[string]serviceNode `yaml:"services"`
}

type upstreamNode struct {
	Name          id.Upstream      `yaml:"name"`
	Address       string           `yaml:"address"`
	FailureDomain id.FailureDomain `yaml:"failure-domain"`
	Leaving       bool             `yaml:"leaving"`
}

// Defaults of keys that no ancestor sets.
const (
	defaultRate         Rate      = 10
	defaultBurst                  = 20
	defaultBudget       id.Tokens = 100_000
	defaultWeight                 = 1.0
	defaultProgramLease           = 10 * time.Minute
	defaultTimeout                = time.Minute
	defaultProgress               = 5 * time.Second
	defaultMaxTokens    id.Tokens = 1024
)

// Parse checks a document and returns it with all inheritance resolved, or all findings.
func Parse(file string, source []byte) (*Fleet, []Finding) {
	var doc document
	decoder := yaml.NewDecoder(bytes.NewReader(source), yaml.Strict())
	if err := decoder.Decode(&doc); err != nil {
		return nil, []Finding{{File: file, Line: 1, Column: 1, Problem: err.Error()}}
	}
	r := resolver{file: file, fleet: &Fleet{
		OpenRoutes: doc.OpenRoutes,
		Workspaces: make(map[id.Workspace]*Workspace),
		Services:   make(map[id.Service]*Service),
	}}
	r.workspaces(doc.Workspaces, Workspace{
		Rate: defaultRate, Burst: defaultBurst, Budget: defaultBudget, Weight: defaultWeight,
		Priority: Routine, ProgramLease: defaultProgramLease,
	})
	r.services(doc.Services, Service{Timeout: defaultTimeout, Progress: defaultProgress, MaxTokens: defaultMaxTokens})
	if len(r.findings) > 0 {
		return nil, r.findings
	}

	return r.fleet, nil
}

type resolver struct {
	file     string
	fleet    *Fleet
	findings []Finding
}

func (r *resolver) find(key, format string, args ...any) {
	r.findings = append(r.findings, Finding{File: r.file, Line: 1, Column: 1, Key: key, Problem: fmt.Sprintf(format, args...)})
}

func (r *resolver) workspaces(nodes map[string]workspaceNode, parent Workspace) {
	for name, node := range nodes {
		w := parent
		w.ID, w.Parent = id.Workspace(name), parent.ID
		if node.Rate != "" {
			rate, err := parseRate(node.Rate)
			if err != nil {
				r.find("rate", "%v", err)
			}
			w.Rate = rate
		}
		if node.Budget != "" {
			budget, err := parseTokens(node.Budget)
			if err != nil {
				r.find("budget", "%v", err)
			}
			w.Budget = budget
		}
		override(&w.Burst, node.Burst)
		override(&w.Weight, node.Weight)
		override(&w.Priority, node.Priority)
		override(&w.ProgramLease, node.ProgramLease)
		if node.Services != nil {
			w.Services = node.Services
		}
		r.fleet.Workspaces[w.ID] = &w
		r.workspaces(node.Workspaces, w)
	}
}

func (r *resolver) services(nodes map[string]serviceNode, parent Service) {
	for name, node := range nodes {
		s := parent
		s.ID, s.Parent, s.Upstreams = id.Service(name), parent.ID, nil
		if node.MaxTokens != "" {
			tokens, err := parseTokens(node.MaxTokens)
			if err != nil {
				r.find("max-tokens", "%v", err)
			}
			s.MaxTokens = tokens
		}
		override(&s.Kind, node.Kind)
		override(&s.Model, node.Model)
		override(&s.Timeout, node.Timeout)
		override(&s.Progress, node.Progress)
		overridePointer(&s.Idempotent, node.Idempotent)
		overridePointer(&s.KnowsOutcomes, node.KnowsOutcomes)
		overridePointer(&s.ChecksFence, node.ChecksFence)
		for _, u := range node.Upstreams {
			s.Upstreams = append(s.Upstreams, Upstream{
				ID: u.Name, Address: u.Address, FailureDomain: u.FailureDomain, Leaving: u.Leaving,
			})
		}
		r.fleet.Services[s.ID] = &s
		r.services(node.Services, s)
	}
}

func override[T comparable](target *T, value T) {
	var zero T
	if value != zero {
		*target = value
	}
}

func overridePointer[T any](target *T, value *T) {
	if value != nil {
		*target = *value
	}
}

// parseRate reads a rate such as 40/s or 300/m.
func parseRate(text string) (Rate, error) {
	number, unit, ok := strings.Cut(text, "/")
	value, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
	if !ok || err != nil || value <= 0 {
		return 0, fmt.Errorf("%q is not a rate such as 40/s or 300/m", text)
	}
	switch strings.TrimSpace(unit) {
	case "s":
		return Rate(value), nil
	case "m":
		return Rate(value / time.Minute.Seconds()), nil
	default:
		return 0, fmt.Errorf("%q has the unit %q, allowed are /s and /m", text, unit)
	}
}

// parseTokens reads a number of tokens such as 4096 tokens or 200k tokens.
func parseTokens(text string) (id.Tokens, error) {
	number, ok := strings.CutSuffix(strings.TrimSpace(text), "tokens")
	number = strings.TrimSpace(number)
	scale := int64(1)
	if thousands, found := strings.CutSuffix(number, "k"); found {
		number, scale = thousands, 1000
	}
	value, err := strconv.ParseInt(number, 10, 64)
	if !ok || err != nil || value <= 0 {
		return 0, fmt.Errorf("%q is not a number of tokens such as 4096 tokens or 200k tokens", text)
	}

	return id.Tokens(value * scale), nil
}
