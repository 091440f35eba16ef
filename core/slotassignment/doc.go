// Package slotassignment plans which slots a host claims, takes over from silent owners, releases and snapshots.
// Rendezvous hashing over the live hosts determines which host should own a slot.
package slotassignment
