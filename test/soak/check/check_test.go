package check_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/platform/standin"
	"cardamomward/test/soak/check"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// at returns a moment of the history.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

const eventCount = 5

func newRequest(id string, kind check.Kind, operation string, seconds float64) check.Request {
	body := "done for " + operation
	if kind == check.Turn || kind == check.Stream {
		body = standin.TaggedStreamText("v1", operation, eventCount)
	}

	return check.Request{
		ID: check.RequestID(id), Kind: kind, Host: "host-0", Key: "key-0", Operation: operation, SentAt: at(seconds), EndedAt: at(seconds + 0.1),
		Status: 200, IsFromUpstream: true, AnsweredID: check.RequestID(id), IsWhole: true, Body: body,
	}
}

// newHistory returns a history without violations: a program of two turns, an order, a stream and probes of two keys.
func newHistory() *check.History {
	h := &check.History{
		Bounds: check.Bounds{
			Retention: time.Minute, Recovery: 15 * time.Second, ConfigurationApply: 4 * time.Second, StableWindow: 5 * time.Second,
			DrainLimit: 5 * time.Second, TokensPerEvent: 10, MaxTurnTokens: 100, RequestsPerWindow: 20, RateWindow: 5 * time.Second, RateKey: "key-limited", HostBytes: 1 << 20, HostFiles: 100, EventCount: eventCount, Versions: []string{"v1", "v2"},
		},
		Hosts: []check.Host{"host-0", "host-1", "host-2", "host-3", "host-4"},
		Keys: []check.Key{
			{Name: "key-0", AddedIn: 1, AddedAt: at(0)},
			{Name: "key-1", AddedIn: 1, AddedAt: at(0), WithdrawnIn: 2, WithdrawnAt: at(10)},
		},
		FaultsEndedAt: at(30),
	}
	first, second := newRequest("r1", check.Turn, "p-1", 1), newRequest("r2", check.Turn, "p-2", 2)
	first.Transcript, second.Transcript, second.Previous = "one", "one two", "r1"
	rejected := newRequest("r5", check.Probe, "probe-1", 20)
	rejected.Key, rejected.Status, rejected.IsFromUpstream = "key-1", 401, false
	h.Requests = []check.Request{first, second, newRequest("r3", check.Order, "order-1", 3), newRequest("r4", check.Stream, "stream-1", 4), rejected}
	for _, r := range h.Requests[:4] {
		body := r.Transcript
		h.Executions = append(h.Executions, check.Execution{Request: r.ID, Upstream: "engine-0", Body: body, At: r.SentAt})
	}
	h.Received = []check.Received{
		{Operation: "stream-1", Events: standin.TaggedStreamText("v1", "stream-1", eventCount), IsComplete: true},
		{Operation: "stream-2", Events: standin.TaggedStreamText("v2", "stream-2", 2)},
	}
	h.Exits = []check.Exit{
		{Host: "host-0", At: at(25), State: "exit status 0", IsSuccess: true, WasReady: true, TerminatedAt: at(21)},
		{Host: "host-1", At: at(25), State: "signal: killed", KilledAt: at(25)},
	}
	h.Usages = []check.Usage{{Host: "host-0", At: at(5), Bytes: 1 << 20, Files: 100}}
	h.Settlements = []check.Settlement{{Operation: "p-3", Previous: "r2", ServedAt: at(35), LastStatus: 200}}

	return h
}

func addRequest(h *check.History, r check.Request) { h.Requests = append(h.Requests, r) }

func disturb(h *check.History, kind check.DisturbanceKind, host check.Host, from, to float64) {
	h.Disturbances = append(h.Disturbances, check.Disturbance{Period: check.Period{From: at(from), To: at(to)}, Kind: kind, Host: host})
}

// newContinuation returns an attempt to continue from the second turn that is refused as if that turn were missing.
func newContinuation(seconds float64) check.Request {
	r := newRequest("r9", check.Turn, "p-3", seconds)
	r.Previous, r.Status, r.IsFromUpstream, r.Body = "r2", 404, false, ""

	return r
}

// Guards against checks that report what the gateway is allowed to do.
func TestHistoryWithoutViolationsPasses(t *testing.T) {
	require.Empty(t, check.Run(newHistory()))
}

// addBudgetTurns adds streams of a program with a budget of 200 tokens, each of which uses 50, and then a refusal.
func addBudgetTurns(h *check.History, count int) {
	for i := range count + 1 {
		id := fmt.Sprintf("b%d", i)
		r := newRequest(id, check.Stream, id, 6+0.2*float64(i))
		r.Program, r.Budget = "p-b", 200
		if i == count {
			r.Status, r.IsFromUpstream, r.Body = 402, false, ""
		} else {
			h.Executions = append(h.Executions, check.Execution{Request: r.ID, Upstream: "engine-0", At: r.SentAt})
		}
		addRequest(h, r)
	}
}

// addLimitedRequests adds requests of the limited workspace, one every 100 ms.
func addLimitedRequests(h *check.History, count int) {
	for i := range count {
		id := fmt.Sprintf("l%d", i)
		r := newRequest(id, check.Probe, id, 6+0.1*float64(i))
		r.Key = "key-limited"
		addRequest(h, r)
		h.Executions = append(h.Executions, check.Execution{Request: r.ID, Upstream: "desk-0", At: r.SentAt})
	}
}

// violationCase changes a history so that it has exactly one violation.
type violationCase struct {
	name    string
	promise check.Promise
	change  func(h *check.History)
}

var violationCases = []violationCase{
	{"order executed twice", "at-most-once", func(h *check.History) {
		h.Executions = append(h.Executions, check.Execution{Request: "r3", Upstream: "desk-1"})
	}},
	{"order executed again after rejection", "at-most-once", func(h *check.History) {
		addRequest(h, newRequest("r9", check.Order, "order-1", 5))
		h.Executions = append(h.Executions, check.Execution{Request: "r9", Upstream: "desk-1"})
	}},
	{"stream started twice while its host was paused", "running-once", func(h *check.History) {
		h.Executions = append(h.Executions, check.Execution{Request: "r4", Upstream: "engine-1"})
		disturb(h, check.HostPaused, "host-0", 4.01, 4.05)
	}},
	{"rejected request was executed", "rejections-are-true", func(h *check.History) {
		h.Executions = append(h.Executions, check.Execution{Request: "r5", Upstream: "desk-1"})
	}},
	{"response without execution", "rejections-are-true", func(h *check.History) { h.Executions = h.Executions[1:] }},
	{"response names another request", "response-of-request", func(h *check.History) { h.Requests[2].AnsweredID = "r1" }},
	{"response of another operation", "response-of-request", func(h *check.History) { h.Requests[2].Body = "done for order-7" }},
	{"stream lacks its last event", "streams-are-whole", func(h *check.History) {
		h.Received[0].Events = standin.TaggedStreamText("v1", "stream-1", eventCount-1)
	}},
	{"stream has events of two versions", "streams-are-whole", func(h *check.History) {
		begin := standin.TaggedStreamText("v1", "stream-1", 2)
		h.Received[0].Events = begin + standin.TaggedStreamText("v2", "stream-1", eventCount)[len(standin.TaggedStreamText("v2", "stream-1", 2)):]
	}},
	{"part of stream repeats an event", "streams-are-whole", func(h *check.History) {
		h.Received[1].Events += h.Received[1].Events
	}},
	{"turn lacks its last event", "streams-are-whole", func(h *check.History) {
		h.Requests[0].Body = standin.TaggedStreamText("v1", "p-1", eventCount-1)
	}},
	{"turn is missing", "turns-are-retained", func(h *check.History) { addRequest(h, newContinuation(10)) }},
	{"turn is missing after three hosts were lost during an outage", "turns-are-retained", func(h *check.History) {
		addRequest(h, newContinuation(10))
		disturb(h, check.StoreDisturbed, "", 1, 3)
		for _, host := range h.Hosts[:3] {
			disturb(h, check.HostLost, host, 2.5, 4)
		}
	}},
	{"turn is missing after all hosts were lost during an outage", "turns-are-retained", func(h *check.History) {
		addRequest(h, newContinuation(10))
		disturb(h, check.StoreDisturbed, "", 1, 5)
		for _, host := range h.Hosts {
			disturb(h, check.HostLost, host, 4, 6)
		}
	}},
	{"turn is missing after all hosts were lost long after an outage", "turns-are-retained", func(h *check.History) {
		addRequest(h, newContinuation(20))
		disturb(h, check.StoreDisturbed, "", 1, 3)
		for _, host := range h.Hosts {
			disturb(h, check.HostLost, host, 10, 12)
		}
	}},
	{"turn has another transcript", "turns-are-in-order", func(h *check.History) { h.Executions[1].Body = "two one" }},
	{"program exceeds its budget", "budgets-hold", func(h *check.History) { addBudgetTurns(h, 7) }},
	{"budget is refused too early", "budgets-hold", func(h *check.History) { addBudgetTurns(h, 1) }},
	{"program exceeds its budget by more than a quarter after a loss of most hosts", "budgets-hold", func(h *check.History) {
		addBudgetTurns(h, 10)
		for _, host := range h.Hosts {
			disturb(h, check.HostLost, host, 6.1, 6.5)
		}
	}},
	{"workspace exceeds its rate", "rates-hold", func(h *check.History) { addLimitedRequests(h, 21) }},
	{"withdrawn key is served", "keys-apply", func(h *check.History) {
		r := newRequest("r9", check.Probe, "probe-2", 16)
		r.Key = "key-1"
		addRequest(h, r)
		h.Executions = append(h.Executions, check.Execution{Request: "r9", Upstream: "desk-1"})
	}},
	{"added key is refused", "keys-apply", func(h *check.History) {
		h.Keys = append(h.Keys, check.Key{Name: "key-2", AddedIn: 3, AddedAt: at(12)})
		r := newRequest("r9", check.Probe, "probe-2", 18)
		r.Key, r.Status, r.IsFromUpstream = "key-2", 401, false
		addRequest(h, r)
	}},
	{"withdrawn key is served after it was refused", "configuration-advances", func(h *check.History) {
		r := newRequest("r9", check.Probe, "probe-2", 21)
		r.Key = "key-1"
		addRequest(h, r)
		h.Executions = append(h.Executions, check.Execution{Request: "r9", Upstream: "desk-1"})
		disturb(h, check.StoreDisturbed, "", 9, 25)
	}},
	{"removed upstream is used", "removed-upstreams-are-unused", func(h *check.History) {
		h.Removals = append(h.Removals, check.Removal{Period: check.Period{From: at(8)}, Upstream: "engine-0"})
		addRequest(h, newRequest("r9", check.Probe, "probe-2", 13))
		h.Executions = append(h.Executions, check.Execution{Request: "r9", Upstream: "engine-0", At: at(13)})
	}},
	{"process ended by itself", "no-exit-by-itself", func(h *check.History) {
		h.Exits = append(h.Exits, check.Exit{Host: "host-2", At: at(7), State: "exit status 2"})
	}},
	{"process ended with an error", "no-exit-by-itself", func(h *check.History) { h.Exits[0].IsSuccess = false }},
	{"process did not end in time", "no-exit-by-itself", func(h *check.History) { h.Exits[0].At = at(27) }},
	{"process had to be killed after SIGTERM", "no-exit-by-itself", func(h *check.History) {
		h.Exits[0].At, h.Exits[0].KilledAt, h.Exits[0].IsSuccess = at(40), at(40), false
	}},
	{"drain cut a request", "drains-cut-nothing", func(h *check.History) {
		disturb(h, check.HostDrained, "host-0", 2.5, 7)
		h.Requests[2].Status, h.Requests[2].IsWhole, h.Requests[2].IsFromUpstream = 0, false, false
	}},
	{"drain of all hosts cut a request", "stop-of-all-cuts-nothing", func(h *check.History) {
		for _, host := range h.Hosts {
			disturb(h, check.HostDrained, host, 2.5, 7)
		}
		h.Requests[2].Status, h.Requests[2].IsWhole, h.Requests[2].IsFromUpstream = 0, false, false
	}},
	{"drain without store cut an order", "drains-cut-nothing", func(h *check.History) {
		disturb(h, check.HostDrained, "host-0", 2.5, 7)
		disturb(h, check.StoreDisturbed, "", 2, 7)
		h.Requests[2].Status, h.Requests[2].IsWhole, h.Requests[2].IsFromUpstream = 0, false, false
	}},
	{"pause cut a request", "pauses-cut-nothing", func(h *check.History) {
		disturb(h, check.HostPaused, "host-0", 3.01, 3.09)
		h.Requests[2].IsWhole = false
	}},
	{"process uses too much memory", "resources-are-bounded", func(h *check.History) { h.Usages[0].Bytes++ }},
	{"process has too many open files", "resources-are-bounded", func(h *check.History) { h.Usages[0].Files++ }},
	{"program continues late", "recovery-in-time", func(h *check.History) { h.Settlements[0].ServedAt = at(46) }},
	{"program does not continue", "recovery-in-time", func(h *check.History) { h.Settlements[0].ServedAt = time.Time{} }},
}

// Guards against a check that misses the violation of its promise.
func TestEachViolationIsFound(t *testing.T) {
	tested := make(map[check.Promise]bool)
	for _, c := range violationCases {
		t.Run(c.name, func(t *testing.T) {
			h := newHistory()
			c.change(h)
			violations := check.Run(h)
			require.Len(t, violations, 1)
			require.Equal(t, c.promise, violations[0].Promise)
		})
		tested[c.promise] = true
	}
	for _, c := range check.All() {
		require.True(t, tested[c.Promise], "promise %s has no violation that is tested", c.Promise)
	}
}

// Guards against checks that blame the gateway for what a fault, the caller or a stalled machine has done.
func TestWhatFaultsExplainIsNoViolation(t *testing.T) {
	for name, change := range map[string]func(h *check.History){
		"order sent again after rejection": func(h *check.History) {
			r := newRequest("r9", check.Order, "order-1", 2)
			r.Status, r.IsFromUpstream = 503, false
			h.Requests = append([]check.Request{r}, h.Requests...)
		},
		"budget that is spent up to the last turn": func(h *check.History) { addBudgetTurns(h, 4) },
		"budget charged after a loss of most hosts": func(h *check.History) {
			addBudgetTurns(h, 1)
			for _, host := range h.Hosts[:3] {
				disturb(h, check.HostLost, host, 5, 6)
			}
		},
		"workspace at its rate": func(h *check.History) { addLimitedRequests(h, 20) },
		"requests of a workspace held by a paused host": func(h *check.History) {
			addLimitedRequests(h, 21)
			disturb(h, check.HostPaused, "host-1", 4, 6)
		},
		"turn is older than its retention": func(h *check.History) { addRequest(h, newContinuation(61)) },
		"withdrawn key at a host without store": func(h *check.History) {
			r := newRequest("r9", check.Probe, "probe-2", 16)
			r.Key = "key-1"
			addRequest(h, r)
			h.Executions = append(h.Executions, check.Execution{Request: "r9", Upstream: "desk-1"})
			disturb(h, check.StoreDisturbed, "host-0", 9, 12)
		},
		"withdrawn key at another host than the one that refused it": func(h *check.History) {
			r := newRequest("r9", check.Probe, "probe-2", 13)
			r.Key, r.Host = "key-1", "host-1"
			addRequest(h, r)
			h.Executions = append(h.Executions, check.Execution{Request: "r9", Upstream: "desk-1"})
			h.Requests[4].SentAt, h.Requests[4].EndedAt = at(12), at(12.1)
		},
		"request cut by the loss of its host": func(h *check.History) {
			disturb(h, check.HostDrained, "host-0", 2.5, 3.02)
			disturb(h, check.HostLost, "host-0", 3.02, 7)
			h.Requests[2].Status, h.Requests[2].IsWhole, h.Requests[2].IsFromUpstream = 0, false, false
		},
		"stream that its caller has left": func(h *check.History) {
			disturb(h, check.HostDrained, "host-0", 3.5, 7)
			h.Requests[3].IsWhole, h.Requests[3].HasLeft = false, true
		},
		"late recovery on a machine that stalls": func(h *check.History) {
			h.Settlements[0].ServedAt = at(46)
			disturb(h, check.Stall, "", 31, 33)
		},
		"turn cut by a drain without store": func(h *check.History) {
			disturb(h, check.HostDrained, "host-0", 1.5, 7)
			disturb(h, check.StoreDisturbed, "", 1.5, 7)
			h.Requests[1].IsWhole = false
			h.Settlements = nil
		},
		"request executed again after the loss of its upstream": func(h *check.History) {
			h.Executions = append(h.Executions, check.Execution{Request: "r4", Upstream: "engine-1"})
			disturb(h, check.UpstreamDisturbed, "", 4.01, 4.05)
		},
		"removed upstream that is registered again": func(h *check.History) {
			h.Removals = append(h.Removals, check.Removal{Period: check.Period{From: at(8), To: at(12.9)}, Upstream: "engine-0"})
			addRequest(h, newRequest("r9", check.Probe, "probe-2", 13))
			h.Executions = append(h.Executions, check.Execution{Request: "r9", Upstream: "engine-0", At: at(13)})
		},
		"slow end of a paused process": func(h *check.History) {
			h.Exits[0].At = at(27)
			disturb(h, check.HostPaused, "host-0", 22, 24)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHistory()
			change(h)
			require.Empty(t, check.Run(h))
		})
	}
}
