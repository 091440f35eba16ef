// Package peer is the RPC between hosts: the membership with its heartbeats, calls to the owners of slots, streamed
// turns and control records for hosts that cannot reach the log.
package peer
