// Package link is a proxy of TCP connections on loopback that delays, resets, holds, trickles or repeats what passes.
package link
