// Package explain holds the command that shows the path of one request through the logs of all hosts.
package explain
