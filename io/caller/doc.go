// Package caller serves the callers: chat completions, programs, service calls and which host to use.
package caller
