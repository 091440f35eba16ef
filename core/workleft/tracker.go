package workleft

import (
	"time"

	"cardamomward/core/id"
)

const (
	// minLeftShare is the share of the estimate that counts as left once a request has exceeded its estimate: with heavy-tailed
	// lengths, a request that is longer than expected has much left.
	minLeftShare = 0.25
	// minAgedShare is the share of a peer's reported work that is left after any time, since other requests follow those that end.
	minAgedShare = 0.5
	// meanWeight is the weight of a request in the mean work of its service.
	meanWeight = 0.05
	// defaultMeanMillis is the mean work of a request until one has begun.
	defaultMeanMillis = 300.0
)

// Work is the estimated work of a request at an upstream.
type Work struct {
	// PrefillMillis is the time until its first token, or the whole time of a request to a plain service.
	PrefillMillis float64
	// OutputTokens is the estimate of its output, and MillisPerToken the time for one token; zero for plain services.
	OutputTokens   float64
	MillisPerToken float64
	// PromptTokens is the engine memory of its own prompt, without shared parts.
	PromptTokens id.Tokens
}

// total returns the whole work in milliseconds.
func (w Work) total() float64 { return w.PrefillMillis + w.OutputTokens*w.MillisPerToken }

// Request is a request of this host that runs or waits at an upstream.
type Request struct {
	upstream  id.Upstream
	work      Work
	startedAt time.Time
	tokens    float64
}

// left returns the work that is left in milliseconds.
func (r *Request) left(now time.Time) float64 {
	if r.tokens == 0 {
		elapsed := now.Sub(r.startedAt).Seconds() * 1000

		return max(r.work.PrefillMillis-elapsed, minLeftShare*r.work.PrefillMillis) + r.work.OutputTokens*r.work.MillisPerToken
	}

	return max(r.work.OutputTokens-r.tokens, minLeftShare*r.work.OutputTokens) * r.work.MillisPerToken
}

// reserved returns the engine memory that the request takes by its end.
func (r *Request) reserved() id.Tokens {
	return r.work.PromptTokens + id.Tokens(max(r.tokens, r.work.OutputTokens))
}

// Load is the requests at an upstream.
type Load struct {
	Running        int
	WorkMillis     float64
	ReservedTokens id.Tokens
}

// peerLoads is the last report of a peer.
type peerLoads struct {
	receivedAt time.Time
	loads      map[id.Upstream]Load
}

// remoteLoad is the sum of the reports of all peers of an upstream; unreported counts the requests of peers that do not report work.
type remoteLoad struct {
	Load

	unreported int
}

// Tracker tracks the work at all upstreams; its zero value is empty.
type Tracker struct {
	own    map[id.Upstream]map[*Request]struct{}
	peers  map[id.Host]peerLoads
	remote map[id.Upstream]remoteLoad
	mean   map[id.Service]float64
}

// Begin adds a request of this host.
func (t *Tracker) Begin(now time.Time, service id.Service, upstream id.Upstream, work Work) *Request {
	if t.own == nil {
		t.own = make(map[id.Upstream]map[*Request]struct{})
		t.mean = make(map[id.Service]float64)
	}
	if t.own[upstream] == nil {
		t.own[upstream] = make(map[*Request]struct{})
	}
	request := &Request{upstream: upstream, work: work, startedAt: now}
	t.own[upstream][request] = struct{}{}
	mean, ok := t.mean[service]
	if !ok {
		mean = work.total()
	}
	t.mean[service] = mean + meanWeight*(work.total()-mean)

	return request
}

// Progress records that output of a request has arrived; nil is ignored.
func (t *Tracker) Progress(request *Request, tokens id.Tokens) {
	if request != nil {
		request.tokens += float64(tokens)
	}
}

// End removes a request; nil is ignored, as is a request that was removed before.
func (t *Tracker) End(request *Request) {
	if request == nil {
		return
	}
	delete(t.own[request.upstream], request)
	if len(t.own[request.upstream]) == 0 {
		delete(t.own, request.upstream)
	}
}

// Own returns the load of this host's requests at an upstream.
func (t *Tracker) Own(now time.Time, upstream id.Upstream) Load {
	load := Load{Running: len(t.own[upstream])}
	for request := range t.own[upstream] {
		load.WorkMillis += request.left(now)
		load.ReservedTokens += request.reserved()
	}

	return load
}

// OwnTotal returns the load of this host's requests at all upstreams.
func (t *Tracker) OwnTotal(now time.Time) Load {
	var total Load
	for upstream := range t.own {
		load := t.Own(now, upstream)
		total.Running += load.Running
		total.WorkMillis += load.WorkMillis
		total.ReservedTokens += load.ReservedTokens
	}

	return total
}

// SetPeer replaces the report of a peer.
func (t *Tracker) SetPeer(now time.Time, peer id.Host, loads map[id.Upstream]Load) {
	if t.peers == nil {
		t.peers = make(map[id.Host]peerLoads)
	}
	t.peers[peer] = peerLoads{receivedAt: now, loads: loads}
}

// SumPeers recomputes the sums of the peers' reports, without those that are older than maxAge.
func (t *Tracker) SumPeers(now time.Time, maxAge time.Duration) {
	if t.remote == nil {
		t.remote = make(map[id.Upstream]remoteLoad)
	}
	clear(t.remote)
	for peer, report := range t.peers {
		age := now.Sub(report.receivedAt)
		if age > maxAge {
			delete(t.peers, peer)

			continue
		}
		for upstream, load := range report.loads {
			sum := t.remote[upstream]
			if load.WorkMillis <= 0 {
				sum.unreported += load.Running
			}
			sum.Running += load.Running
			sum.WorkMillis += load.Aged(age)
			sum.ReservedTokens += load.ReservedTokens
			t.remote[upstream] = sum
		}
	}
}

// Aged returns the work that is left of a report: each request has run on, and others have followed those that have ended.
func (l Load) Aged(age time.Duration) float64 {
	return max(l.WorkMillis-float64(l.Running)*age.Seconds()*1000, minAgedShare*l.WorkMillis)
}

// Total returns the load of all hosts at an upstream of a service. Requests of peers that do not report their work count with the
// mean work of the service.
func (t *Tracker) Total(now time.Time, service id.Service, upstream id.Upstream) Load {
	total, remote := t.Own(now, upstream), t.remote[upstream]
	total.Running += remote.Running
	total.WorkMillis += remote.WorkMillis + float64(remote.unreported)*t.MeanMillis(service)
	total.ReservedTokens += remote.ReservedTokens

	return total
}

// MeanMillis returns the mean work of this host's requests to a service in milliseconds.
func (t *Tracker) MeanMillis(service id.Service) float64 {
	if mean, ok := t.mean[service]; ok {
		return mean
	}

	return defaultMeanMillis
}
