// Package serve runs a host.
package serve
