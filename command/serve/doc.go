// Package serve contains the command that runs a host.
package serve
