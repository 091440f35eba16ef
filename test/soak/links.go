package soak

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"cardamomward/test/soak/check"
	"cardamomward/test/soak/link"
	"cardamomward/test/soak/plan"
)

// faultyLink is a link with the faults that are active at the same time.
type faultyLink struct {
	*link.Link

	mu     sync.Mutex
	active []plan.Fault
}

// addLink starts a link to an address and returns the address of the link.
func (r *run) addLink(name plan.Target, address string) (string, error) {
	l, err := link.New(address)
	if err != nil {
		return "", err
	}
	r.links[name] = &faultyLink{Link: l}

	return l.Address(), nil
}

func (r *run) closeLinks() {
	for _, l := range r.links {
		l.Close()
	}
}

const (
	// linkDelay is added to what passes in each direction; a renewal of an owner's lease may take longer than its heartbeats' limit then.
	linkDelay = 150 * time.Millisecond
	// trickleBytesPerSecond lets a short request pass in less than its time limit, and a long one not.
	trickleBytesPerSecond = 4000
)

// injectAtLink injects a fault into a link and returns when it has ended.
func (r *run) injectAtLink(ctx context.Context, f plan.Fault) error {
	l, ok := r.links[f.Target]
	if !ok {
		return fmt.Errorf("%s: there is no such link", f)
	}
	defer r.recorder.beginDisturbance(linkDisturbance(f.Target))()
	if f.Kind == plan.LinkRepeat {
		sleep(ctx, f.For)
		r.recorder.log("repeated %d requests", l.Repeat(ctx))

		return nil
	}
	l.change(func() { l.active = append(l.active, f) })
	sleep(ctx, f.For)
	l.change(func() {
		if i := slices.Index(l.active, f); i >= 0 {
			l.active = slices.Delete(l.active, i, i+1)
		}
	})
	if strings.HasPrefix(string(f.Target), string(plan.UpstreamLink)) {
		sleep(ctx, upstreamSettleTime)
	}

	return nil
}

// linkDisturbance returns what a fault of a link disturbs.
func linkDisturbance(target plan.Target) (check.DisturbanceKind, check.Host) {
	if host, ok := strings.CutPrefix(string(target), string(plan.StoreLink)); ok {
		return check.StoreDisturbed, check.Host(host)
	}
	if host, ok := strings.CutPrefix(string(target), string(plan.CallersLink)); ok {
		return check.CallersDisturbed, check.Host(host)
	}

	return check.UpstreamDisturbed, ""
}

// change changes the active faults and applies all of them together.
func (l *faultyLink) change(apply func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	apply()
	var fault link.Fault
	for _, f := range l.active {
		switch f.Kind { //nolint:exhaustive // the others are no faults of links
		case plan.LinkDelay:
			fault.Delay = linkDelay
		case plan.LinkTrickle:
			fault.BytesPerSecond = trickleBytesPerSecond
		case plan.LinkReset:
			fault.Resets = true
		case plan.LinkDrop:
			fault.HoldsRequests, fault.HoldsResponses = true, true
		case plan.LinkDropRequests:
			fault.HoldsRequests = true
		case plan.LinkDropResponses:
			fault.HoldsResponses = true
		}
	}
	l.SetFault(fault)
}
