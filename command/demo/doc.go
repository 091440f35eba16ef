// Package demo contains the command that starts a local cluster with stand-in upstreams and runs programs on it end to
// end.
package demo
