// Package cacheaware is a load balancer for model engines that prefers upstreams with a cached prefix of the prompt.
// It works from load reports that are late, cache events that are late and incomplete, and the calls that this host
// has started since the last report.
package cacheaware
