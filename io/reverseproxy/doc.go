// Package reverseproxy forwards callers' requests to upstreams and returns the responses.
//
// It authenticates callers, enforces rate limits and token budgets, balances requests over upstreams, retries them within
// the retry policy, and resumes broken event streams at another upstream.
package reverseproxy
