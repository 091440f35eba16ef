// Package apierror defines the errors returned to callers: a kind with its HTTP status, whether the request was executed, and
// the retry delay.
package apierror
