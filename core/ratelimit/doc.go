// Package ratelimit limits each workspace's request rate and burst over all hosts together with token buckets.
//
// The owner of each workspace's pool, a token bucket, grants requests to the hosts that ask. Each host also has a small token
// bucket of its own, the floor, from which it admits requests without a grant. Split documents why the sum stays within rate
// and burst over any window.
package ratelimit
