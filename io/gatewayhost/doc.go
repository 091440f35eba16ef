// Package gatewayhost runs a gateway host: servers for callers, the address directory, readiness and metrics, and this host's
// part in the fleet.
package gatewayhost
