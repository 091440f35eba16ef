// Package meter counts the bytes that an HTTP client exchanges, for capacity measurements.
package meter
