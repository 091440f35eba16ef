// Package endpoints selects the host addresses that callers are told to connect to.
package endpoints
