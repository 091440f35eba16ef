package fleet

import (
	"slices"
	"strconv"
	"time"

	"cardamomward/core/culprit"
	"cardamomward/core/id"
	"cardamomward/core/registry"
)

// Running returns how many requests run or wait at an upstream, here and at the hosts that are heard.
func (f *Fleet) Running(upstream id.Upstream) int {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()

	return f.peers.running[upstream] + f.peers.remote[upstream]
}

// Add counts requests of this host at an upstream.
func (f *Fleet) Add(upstream id.Upstream, delta int) {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	if f.peers.running[upstream] += delta; f.peers.running[upstream] <= 0 {
		delete(f.peers.running, upstream)
	}
}

// Convicted reports whether a request has crashed too many upstreams.
func (f *Fleet) Convicted(request id.Fingerprint) bool {
	f.docketMu.Lock()
	defer f.docketMu.Unlock()

	return f.docket.Convicted(request)
}

// Lost notes that an upstream's answer to a request broke off, and tells the peers.
func (f *Fleet) Lost(request id.Fingerprint, instance *registry.Instance) {
	crash := culprit.Crash{Request: request, Process: string(instance.ID) + "/" + strconv.FormatInt(instance.Born, 10)}
	now := f.Now()
	f.docketMu.Lock()
	defer f.docketMu.Unlock()
	if f.docket.Add(now, crash) {
		f.crashes = append(f.crashes, toldCrash{crash, now.Add(crashTold)})
		f.Logger.Info("answer-broke-off", "fingerprint", request, "process", crash.Process, "convicted", f.docket.Convicted(request))
	}
}

func (f *Fleet) learnCrash(now time.Time, crash culprit.Crash) {
	f.docketMu.Lock()
	defer f.docketMu.Unlock()
	f.docket.Add(now, crash)
}

// crashTold is how long a crash is told, in beat after beat, since beats get lost.
const crashTold = 2 * time.Second

// toldCrash is a crash that peers are told until a time.
type toldCrash struct {
	culprit.Crash

	until time.Time
}

// takeCrashes returns the crashes to tell.
func (f *Fleet) takeCrashes(now time.Time) []toldCrash {
	f.docketMu.Lock()
	defer f.docketMu.Unlock()
	f.crashes = slices.DeleteFunc(f.crashes, func(c toldCrash) bool { return now.After(c.until) })

	return slices.Clone(f.crashes)
}
