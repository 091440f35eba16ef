// Package hostlist is a stand-in for the platform's lagging list of live and leaving hosts.
package hostlist
