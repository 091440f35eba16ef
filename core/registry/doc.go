// Package registry keeps the upstreams that have registered themselves and selects those that may get new requests.
package registry
