// Package http1 follows the framing of HTTP/1.1 requests within limits, in the parts in which they arrive, and interprets the heads of responses.
package http1
