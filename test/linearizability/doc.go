// Package linearizability runs a workload of concurrent callers, records their operations and checks that the history is linearizable.
package linearizability
