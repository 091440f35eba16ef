// Package httpx holds the HTTP server and the JSON request and response helpers that all HTTP interfaces share.
package httpx
