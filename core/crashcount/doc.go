// Package crashcount finds requests that crash the upstreams that run them.
package crashcount
