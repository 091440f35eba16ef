// Package daemon puts a host together: its journals, peers, slots, programs and interfaces.
package daemon
