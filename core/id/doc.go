// Package id defines the identifier and unit types that all packages share, and hashes identifiers to slots.
package id
