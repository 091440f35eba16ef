// Package key contains the commands that issue, withdraw and list callers' API keys.
package key
