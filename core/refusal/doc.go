// Package refusal defines the one error shape that callers see: what happened, whether the request ran and when to come back.
package refusal
