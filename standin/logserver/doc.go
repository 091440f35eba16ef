// Package logserver is a stand-in for the platform's append-only log, with switches for its faults.
package logserver
