package cluster

import (
	"net"
	"net/http"
	"path"
	"sync"

	"cardamomward/core/id"
	"cardamomward/core/traffic"
)

// peerDomains maps the addresses of peers, and their IP numbers, to their failure domains.
type peerDomains struct{ byAddress sync.Map }

func (d *peerDomains) put(entry hostEntry) {
	for _, address := range addressesOf(entry) {
		d.byAddress.Store(address, entry.FailureDomain)
	}
}

func (d *peerDomains) remove(entry hostEntry) {
	for _, address := range addressesOf(entry) {
		d.byAddress.Delete(address)
	}
}

// get returns the failure domain of an address with or without its port, or an empty one if it belongs to no peer.
func (d *peerDomains) get(address string) id.FailureDomain {
	domain, ok := d.byAddress.Load(address)
	if !ok {
		ip, _, err := net.SplitHostPort(address)
		if err != nil {
			return ""
		}
		domain, ok = d.byAddress.Load(ip)
	}
	if !ok {
		return ""
	}

	return domain.(id.FailureDomain) //nolint:forcetypeassert // put stores nothing else
}

func addressesOf(entry hostEntry) []string {
	addresses := []string{entry.PeerAddress, entry.RelayAddress}
	if ip, _, err := net.SplitHostPort(entry.PeerAddress); err == nil {
		addresses = append(addresses, ip)
	}

	return addresses
}

// PeerTraffic returns the counter of the bytes that this host exchanges with the peer at an address, or nil without counters.
func (c *Cluster) PeerTraffic(cause traffic.Cause, address string) *traffic.Counter {
	if c.Traffic == nil {
		return nil
	}

	return c.Traffic.Get(cause, traffic.CrossingBetween(c.Settings.FailureDomain, c.peers.domains.get(address)))
}

// causeOfCall returns why a call between hosts is made, from the path of its method.
func causeOfCall(urlPath string) traffic.Cause {
	switch path.Base(urlPath) {
	case "Hold", "Recall", "FindTurn":
		return traffic.Copies
	case "Relay":
		return traffic.Relay
	default:
		return traffic.Owner
	}
}

// countingTransport counts the bodies of calls to peers.
type countingTransport struct {
	inner   http.RoundTripper
	cluster *Cluster
}

// RoundTrip makes a call and counts the bytes of its request and response.
func (t *countingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	counter := t.cluster.PeerTraffic(causeOfCall(req.URL.Path), req.URL.Host)
	counter.AddSent(int(req.ContentLength))
	resp, err := t.inner.RoundTrip(req)
	if err == nil {
		counter.AddReceived(int(resp.ContentLength))
	}

	return resp, err
}

// countCalls counts the bodies of calls of peers.
func (c *Cluster) countCalls(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		counter := c.PeerTraffic(causeOfCall(r.URL.Path), r.RemoteAddr)
		counter.AddReceived(int(r.ContentLength))
		inner.ServeHTTP(&countingResponseWriter{w, counter}, r)
	})
}

// countingResponseWriter counts the bytes of a response's body.
type countingResponseWriter struct {
	http.ResponseWriter

	counter *traffic.Counter
}

// Write writes a part of the body.
func (w *countingResponseWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.counter.AddSent(n)

	return n, err
}
