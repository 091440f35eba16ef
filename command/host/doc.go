// Package host contains the commands that list and drain hosts.
package host
