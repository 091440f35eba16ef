// Package engineclient is the client of model engines: it streams chat completions as server-sent events, polls load
// reports and cache events, and releases cached prefixes.
package engineclient
