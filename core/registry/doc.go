// Package registry keeps the upstreams that have registered themselves and decides which may get new work.
package registry
