// Package executor executes the requests for the slots that this host owns: it runs program turns on engines within
// their token budgets, sends calls to plain services, and sends a call that is not idempotent at most once. A slot is a
// hash partition of the programs, idempotency keys and upstreams; each slot has one owner host at a time.
package executor
