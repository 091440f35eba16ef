// Package aggregationtree keeps an aggregate of one value a host over a tree of hosts with adaptive leases.
//
// It is the lease-based mechanism with the policy RWW of C. Greg Plaxton, Mitul Tiwari and Praveen
// Yalagandula, "Online Aggregation over Trees", sections 3 to 5. A neighbour that holds a lease is sent
// each change; without a lease it asks when it reads. The mechanism takes reliable, ordered channels for
// granted, so a tree lives for one set of hosts: when the set changes, the caller builds a new tree and
// drops the messages of the old one.
package aggregationtree
