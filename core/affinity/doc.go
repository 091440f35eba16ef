// Package affinity tracks on which upstream the requests of each affinity key last ran, and which upstreams have shared
// parts of prompts in their cache. Requests with the same affinity key, such as those of a session, reuse the cached
// prompt if they run on the same upstream.
package affinity
