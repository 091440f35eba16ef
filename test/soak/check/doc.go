// Package check finds violations of the gateway's promises in the history of a soak run: what callers and upstreams observed, the
// faults that were injected, and what the operating system told of the hosts' processes. It has no I/O and no clock.
package check
