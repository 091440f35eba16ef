// Package reachability decides whether a host connects to an upstream directly or through another host, from the outcomes of
// its connection attempts on both paths.
package reachability
