// Package ratelimit limits each workspace's request rate and burst over all hosts together with token buckets.
//
// One owner of each workspace's pool grants requests to the hosts that ask; a small floor bucket at each host needs no
// grant. Split documents why the sum stays within rate and burst over any window.
package ratelimit
