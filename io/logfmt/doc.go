// Package logfmt is a logr sink that writes each event as one line of key=value pairs (logfmt), and an asynchronous
// writer for such lines.
package logfmt
