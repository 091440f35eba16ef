// Package dump contains the command that prints the internal state of a host.
package dump
