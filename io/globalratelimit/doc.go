// Package globalratelimit limits each workspace's request rate over all hosts: a host requests grants from the owner of the
// workspace's token bucket, and grants requests from the buckets that it owns itself. Each host also has a small floor
// bucket per workspace, from which it admits requests without a grant, unless the workspace's burst is too small to divide.
package globalratelimit
