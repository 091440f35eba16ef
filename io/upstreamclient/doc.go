// Package upstreamclient is an HTTP/1.1 client for upstreams: it sends requests over pooled connections, detects
// unreachable upstreams and reads responses and server-sent events.
package upstreamclient
