// Package upstreamreport requests what upstreams report about their processes.
package upstreamreport
