// Package memorybudget accounts for the bytes that a host holds for its callers and upstreams, by holder.
package memorybudget
