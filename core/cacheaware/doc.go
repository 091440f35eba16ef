// Package cacheaware decides which upstream runs a call, from load reports that lag, cache events that come
// late and with gaps, and the host's own calls since.
package cacheaware
