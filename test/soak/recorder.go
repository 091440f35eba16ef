package soak

import (
	"fmt"
	"io"
	"sync"
	"time"

	"cardamomward/test/soak/check"
)

// recorder collects the history of a run.
type recorder struct {
	events io.Writer

	mu      sync.Mutex
	history check.History
}

const logTimeFormat = "15:04:05.000"

// log writes a line to the log of events.
func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.events, "%s %s\n", time.Now().Format(logTimeFormat), fmt.Sprintf(format, args...))
}

func (r *recorder) addRequest(request check.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Requests = append(r.history.Requests, request)
}

func (r *recorder) addReceived(received check.Received) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Received = append(r.history.Received, received)
}

func (r *recorder) addSettlement(settlement check.Settlement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Settlements = append(r.history.Settlements, settlement)
}

func (r *recorder) addExit(exit check.Exit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Exits = append(r.history.Exits, exit)
}

func (r *recorder) addUsage(usage check.Usage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Usages = append(r.history.Usages, usage)
}

// beginDisturbance records the begin of a disturbance and returns the function that records its end.
func (r *recorder) beginDisturbance(kind check.DisturbanceKind, host check.Host) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	index := len(r.history.Disturbances)
	r.history.Disturbances = append(r.history.Disturbances, check.Disturbance{Period: check.Period{From: time.Now()}, Kind: kind, Host: host})

	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.history.Disturbances[index].To = time.Now()
	}
}

// beginRemoval records that an upstream is not registered any more and returns the function that records its registration.
func (r *recorder) beginRemoval(upstream string) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	index := len(r.history.Removals)
	r.history.Removals = append(r.history.Removals, check.Removal{Period: check.Period{From: time.Now()}, Upstream: upstream})

	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.history.Removals[index].To = time.Now()
	}
}

func (r *recorder) addStall(from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Disturbances = append(r.history.Disturbances, check.Disturbance{Period: check.Period{From: from, To: to}, Kind: check.Stall})
}
