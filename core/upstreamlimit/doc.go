// Package upstreamlimit keeps the request rates that upstreams name in their responses, and paces the requests of hosts that
// cannot ask for their share of a rate.
package upstreamlimit
