// Package hostlist is a stand-in for the platform's eventually consistent list of live and leaving hosts.
package hostlist
