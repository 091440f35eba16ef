// Package crashcount counts the upstream crashes of each request, to block requests that crash the upstreams that run
// them.
package crashcount
