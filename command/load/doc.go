// Package load contains the command that runs programs against a cluster. It is an open-loop load generator: programs
// arrive at seeded random times, independent of the responses. It reports program latency, wasted cache, the slowdown of
// each workspace, and the requests that were refused although their workspace was within its rate.
package load
