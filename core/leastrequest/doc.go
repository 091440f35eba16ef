// Package leastrequest spreads calls over the upstreams of a plain service and passes over those that fail.
package leastrequest
