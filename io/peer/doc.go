// Package peer speaks to the other hosts: heartbeats, calls to slot owners, streamed turns and relayed control records.
package peer
