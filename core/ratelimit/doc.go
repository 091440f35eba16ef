// Package ratelimit keeps each workspace within its rate and burst over all hosts together.
//
// One owner of each workspace's bucket grants requests to the hosts that ask; a small floor at each host
// needs no grant. See Split for why the sum stays within rate and burst over any window.
package ratelimit
