// Package gateway takes the requests of callers, sends them to upstreams and passes the answers back.
package gateway
