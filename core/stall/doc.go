// Package stall detects streams of generated tokens that have been idle or without a token for too long.
package stall
