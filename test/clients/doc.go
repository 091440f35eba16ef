// Package clients tests that hosts survive clients that exceed the limits of requests or hold what they get: it starts a host as a process
// of its own and bounds the memory and the descriptors of that process.
package clients
