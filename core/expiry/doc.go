// Package expiry detects programs that have had no activity for the duration of their lease.
package expiry
