// Package poison detects poison requests, which crash the upstreams that run them, without blocking other requests that
// ran beside them.
package poison
