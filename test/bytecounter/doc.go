// Package bytecounter counts the bytes that an HTTP client sends and receives, for capacity measurements.
package bytecounter
