// Package cluster makes the hosts act together: who owns which slot, what owners keep for programs and workspaces, and
// what hosts tell each other of their loads.
//
// The platform's store says who owns a slot; its epochs fence owners that have lost one.
package cluster
