// Package globalratelimit limits each workspace's request rate over all hosts: a host requests grants from the owner of the
// workspace's token bucket, and grants requests from the buckets that it owns itself.
package globalratelimit
