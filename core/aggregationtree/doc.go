// Package aggregationtree computes an aggregate of one value per host over a tree of hosts with adaptive leases.
//
// It implements the lease-based mechanism and the policy RWW of C. Greg Plaxton, Mitul Tiwari and Praveen
// Yalagandula, "Online Aggregation over Trees", sections 3 to 5. A host sends each change to the neighbours
// that hold a lease; a neighbour without a lease sends a probe when it reads. The mechanism requires reliable,
// ordered channels, so a tree serves one fixed set of hosts: when the set changes, the caller builds a new tree
// and drops the messages of the old one.
package aggregationtree
