// Package dump shows the whole state of a host.
package dump
