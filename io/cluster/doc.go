// Package cluster coordinates the hosts: membership, ownership of slots, failover, leased rate quotas, the state that
// owners keep for programs and workspaces, and the load reports and evictions that hosts exchange in heartbeats. The
// platform's store assigns slots to members. The epoch of an assignment fences a former owner's writes.
package cluster
