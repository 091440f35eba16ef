// Package logserver is a stand-in for the platform's append-only log with fault injection.
package logserver
