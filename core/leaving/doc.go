// Package leaving keeps which upstreams have announced in a response that they shut down, and until when each may be used.
package leaving
