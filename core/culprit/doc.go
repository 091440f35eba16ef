// Package culprit finds requests that crash the upstreams that run them.
package culprit
