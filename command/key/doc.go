// Package key issues, withdraws and lists callers' keys.
package key
