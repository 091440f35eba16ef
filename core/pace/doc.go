// Package pace follows how fast upstreams work and how often they fail, from the answers that a host has seen.
package pace
