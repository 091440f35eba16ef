// Package circuitbreaker is a circuit breaker for a host's direct path to the platform's store. While it is open, the host
// sends its calls through another host, because the store refuses this one or is unreachable from it but serves others.
package circuitbreaker
