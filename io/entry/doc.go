// Package entry runs an entry host on the users' platform: it serves callers, the directory and readiness.
package entry
