// Package eviction detects owners of slots that have failed and decides when a host evicts them from the group, before
// their leases expire, so that their programs get a new owner sooner. An evicted owner that is still alive is fenced by
// its successor's epoch.
package eviction
