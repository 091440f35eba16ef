// Package failover picks an acting owner for a slot whose owner is down while the platform's store is unavailable to all
// hosts, when no host can take the slot over. All hosts that know the same owners pick the same acting owner, by
// rendezvous hashing.
package failover
