// Package intake decides which connections of a process may hold memory and descriptors for requests that have not arrived whole, and
// which of them are closed when there is not enough for others.
package intake
