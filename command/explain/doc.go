// Package explain contains the command that selects the lines related to one request from the logs of all hosts.
package explain
