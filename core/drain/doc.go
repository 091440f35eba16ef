// Package drain decides which requests a host still takes while it shuts down.
package drain
