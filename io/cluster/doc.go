// Package cluster coordinates the hosts: membership, ownership of slots, failover, leased rate quotas, the state that
// owners keep for programs and workspaces, and the load reports and evictions that hosts exchange in heartbeats.
//
// Programs and workspaces are hashed to a fixed number of slots, which are partitions of a topic in the platform's store.
// The store assigns the slots to the members of a group. Owners write with the epoch of their assignment, so that the
// store rejects the writes of a former owner.
package cluster
