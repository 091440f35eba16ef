// Package executor executes the requests for the slots that this host owns: it runs program turns on engines within
// their token budgets, sends calls to plain services, and sends a call that is not idempotent at most once.
package executor
