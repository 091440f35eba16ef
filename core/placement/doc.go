// Package placement decides which upstream runs a call.
package placement
