// Package platformclient is the client of the platform's services, the append-only log and the list of hosts, with
// journals that replicate the state of a log stream and append records to it.
package platformclient
