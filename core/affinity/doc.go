// Package affinity tracks where the affinity keys of programs last ran and which upstreams have shared parts of prompts
// in their cache.
package affinity
