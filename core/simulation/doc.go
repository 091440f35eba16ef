// Package simulation is a discrete-event simulator of the scheduler: it plays generated programs on model engines in
// virtual time, under the scheduler's own policy and under baseline policies. A seed determines a run completely.
package simulation
