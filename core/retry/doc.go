// Package retry bounds how often calls are tried again, so that retries never multiply a failure.
package retry
