// Package failover picks the host that acts for the owner of a slot that is down while the platform's store is
// unavailable to all hosts, so that no host can take the slot over. All hosts that know the same owners pick the same
// acting owner, by rendezvous hashing.
package failover
