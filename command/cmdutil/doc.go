// Package cmdutil contains the shared parts of all commands: injected dependencies, common flags, output formats and
// exit codes.
package cmdutil
