// Package poison detects poison requests, which crash the upstreams that run them, without blocking other requests that
// ran at the same time.
package poison
