// Package progress decides when a stream of generated tokens has been silent or without progress for too long.
package progress
