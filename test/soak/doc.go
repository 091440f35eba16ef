// Package soak runs gateway processes, stand-ins of the platform's store and of upstreams, and callers on loopback, injects the faults of
// a plan, and records what callers and upstreams observe. It is a test tool and the only package that starts processes.
package soak
