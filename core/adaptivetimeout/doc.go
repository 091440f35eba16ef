// Package adaptivetimeout estimates how long to wait for a response before a retry, from the latency of earlier
// responses.
package adaptivetimeout
