// Package relay connects hosts to upstreams through other hosts, by HTTP CONNECT, while their own links fail.
package relay
