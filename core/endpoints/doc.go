// Package endpoints chooses the hosts that callers are told to connect to.
package endpoints
