package plan

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

var kinds = []Kind{
	Terminate, TerminateTwice, TerminateStarting, Pause, Kill, StoreSlow, StoreDown, StoreCut, StoreLossy, StoreForget, Release, Crash, Remove,
	ChangeKeys, LinkDelay, LinkTrickle, LinkReset, LinkDrop, LinkDropRequests, LinkDropResponses, LinkRepeat,
}

// Kinds returns all kinds of faults.
func Kinds() []Kind { return slices.Clone(kinds) }

// String returns the fault as one line, which Parse reads.
func (f Fault) String() string {
	target := f.Target
	if target == "" {
		target = noTarget
	}

	return fmt.Sprintf("fault at %s for %s kind %s target %s", f.At, f.For, f.Kind, target)
}

// noTarget is printed for an empty target.
const noTarget = "none"

// String returns the plan as lines, which Parse reads.
func (p Plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "plan seed %d hosts %d duration %s\n", p.Seed, p.Hosts, p.Duration)
	for _, f := range p.Faults {
		fmt.Fprintln(&b, f)
	}

	return b.String()
}

// Parse reads a plan that String has printed; the error names all lines that are invalid.
func Parse(text string) (Plan, error) {
	var p Plan
	var findings []error
	number := 0
	for line := range strings.Lines(strings.TrimSpace(text)) {
		number++
		line = strings.TrimSpace(line)
		var err error
		if number == 1 {
			err = p.parseHead(line)
		} else {
			err = p.parseFault(line)
		}
		if err != nil {
			findings = append(findings, fmt.Errorf("line %d: %w", number, err))
		}
	}
	if number == 0 {
		findings = append(findings, errors.New("the plan is empty"))
	}

	return p, errors.Join(findings...)
}

func (p *Plan) parseHead(line string) error {
	var duration string
	if _, err := fmt.Sscanf(line, "plan seed %d hosts %d duration %s", &p.Seed, &p.Hosts, &duration); err != nil {
		return fmt.Errorf("%q is no head of a plan: %w", line, err)
	}
	var err error
	p.Duration, err = time.ParseDuration(duration)

	return err
}

func (p *Plan) parseFault(line string) error {
	var f Fault
	var at, length, kind, target string
	if _, err := fmt.Sscanf(line, "fault at %s for %s kind %s target %s", &at, &length, &kind, &target); err != nil {
		return fmt.Errorf("%q is no fault: %w", line, err)
	}
	var atErr, lengthErr, kindErr error
	f.At, atErr = time.ParseDuration(at)
	f.For, lengthErr = time.ParseDuration(length)
	f.Kind = Kind(kind)
	if !slices.Contains(kinds, f.Kind) {
		kindErr = fmt.Errorf("the kind %q is unknown; known are %v", kind, kinds)
	}
	if target != noTarget {
		f.Target = Target(target)
	}
	p.Faults = append(p.Faults, f)

	return errors.Join(atErr, lengthErr, kindErr)
}
