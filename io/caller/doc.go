// Package caller is the HTTP API for callers, with its server, client and JSON types: chat completions, programs,
// service calls and the lookup of the host to use.
package caller
