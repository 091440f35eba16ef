// Package dev contains the command that runs a local cluster with stand-in upstreams until it is stopped, for manual
// tests of the interfaces.
package dev
