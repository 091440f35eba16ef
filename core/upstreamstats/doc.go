// Package upstreamstats tracks the latency and the recent failures of upstreams, from the answers that a host receives.
package upstreamstats
