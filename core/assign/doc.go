// Package assign chooses the upstream that runs a request.
package assign
