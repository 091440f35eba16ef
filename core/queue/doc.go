// Package queue decides which waiting call is served next.
package queue
