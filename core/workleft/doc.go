// Package workleft tracks the outstanding work and the engine memory of the requests at each upstream, of this host exactly and of
// its peers from their reports.
package workleft
