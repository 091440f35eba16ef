// Package relayselection chooses the host that relays a connection to an upstream.
package relayselection
