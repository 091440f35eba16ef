package statechart

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/joomcode/errorx"
)

var (
	errs = errorx.NewNamespace("chart")

	// ErrInvalid is returned for a file that is not a valid chart.
	ErrInvalid = errs.NewType("invalid")
	// ErrNoTransition is returned for an event that the current state does not accept.
	ErrNoTransition = errs.NewType("no-transition")
)

// State is the name of a state.
type State string

// Event is the name of an event that triggers a transition.
type Event string

// Chart is a validated state chart.
type Chart struct {
	Name    string                    `yaml:"chart"`
	Initial State                     `yaml:"initial"`
	States  map[State]map[Event]State `yaml:"states"`
}

// Load parses and validates a chart, or returns ErrInvalid with all findings.
func Load(source []byte) (*Chart, error) {
	var c Chart
	decoder := yaml.NewDecoder(bytes.NewReader(source), yaml.Strict())
	if err := decoder.Decode(&c); err != nil {
		return nil, ErrInvalid.Wrap(err, "parse chart")
	}
	if findings := c.validate(); len(findings) > 0 {
		return nil, ErrInvalid.New("chart %s: %s", c.Name, strings.Join(findings, "; "))
	}

	return &c, nil
}

// MustLoad is like Load but panics on an error; it is for charts that are embedded in the binary.
func MustLoad(source []byte) *Chart {
	c, err := Load(source)
	if err != nil {
		panic(err)
	}

	return c
}

// Next returns the state after an event, or the same state and ErrNoTransition.
func (c *Chart) Next(state State, event Event) (State, error) {
	next, ok := c.States[state][event]
	if !ok {
		return state, ErrNoTransition.New("chart %s: state %s does not accept event %s", c.Name, state, event)
	}

	return next, nil
}

func (c *Chart) validate() []string {
	var findings []string
	if _, ok := c.States[c.Initial]; !ok {
		findings = append(findings, fmt.Sprintf("initial state %q is not among the states", c.Initial))
	}
	hasIncomingTransition := map[State]bool{c.Initial: true}
	for _, state := range slices.Sorted(maps.Keys(c.States)) {
		for _, event := range slices.Sorted(maps.Keys(c.States[state])) {
			target := c.States[state][event]
			hasIncomingTransition[target] = true
			if _, ok := c.States[target]; !ok {
				findings = append(findings, fmt.Sprintf("transition from %s on event %s leads to %q, which is not a state", state, event, target))
			}
		}
	}
	for _, state := range slices.Sorted(maps.Keys(c.States)) {
		if !hasIncomingTransition[state] {
			findings = append(findings, fmt.Sprintf("state %q is never reached", state))
		}
	}

	return findings
}
