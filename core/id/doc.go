// Package id holds the named types for identifiers and units that all packages share.
package id
