// Package daemon wires and runs a host: its journals, its membership, the slots and programs that it owns, and its HTTP
// servers for callers, operators and other hosts.
package daemon
