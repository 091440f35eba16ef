// Package http1 follows the framing of HTTP/1.1 requests within limits, in the parts in which they arrive.
package http1
