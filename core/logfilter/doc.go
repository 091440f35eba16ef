// Package logfilter parses the logs of all hosts and selects the lines that are related to one request.
package logfilter
