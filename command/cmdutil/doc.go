// Package cmdutil holds what all commands share: injected streams, clock and clients, output and exit codes.
package cmdutil
