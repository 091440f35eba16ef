// Package prompt measures and hashes the messages of a model call.
package prompt
