// Package trace finds in the hosts' logs what happened to one request, on whichever hosts it did.
package trace
