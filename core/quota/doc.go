// Package quota limits a workspace's request rate over all hosts with leased quotas: the owner of the workspace's token
// bucket grants small quotas with a short lease to the hosts that ask; unused requests return with the next renewal.
//
// It estimates the requests that a program needs, and refuses programs at their start instead of midway. Package ratelimit
// splits a rate without such an estimate.
package quota
