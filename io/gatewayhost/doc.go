// Package gatewayhost runs a gateway host: servers for callers, the address directory, readiness and metrics, and the host's
// membership in the cluster.
package gatewayhost
