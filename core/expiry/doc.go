// Package expiry decides which programs have had no call for the length of their lease.
package expiry
