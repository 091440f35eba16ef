// Package circuitbreaker decides whether calls to the platform's store go there directly or by way of another host, for a host
// that the store turns away or cannot be reached from while it serves others.
package circuitbreaker
