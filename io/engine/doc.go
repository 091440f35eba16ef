// Package engine speaks to model engines: chat completions as server-sent events, load reports, cache events and orders.
package engine
