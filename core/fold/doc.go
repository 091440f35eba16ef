// Package fold turns the records of the platform's log into state: the same records give the same state on every host.
//
// A record is valid or void by its position alone. No function here reads a clock or performs I/O.
package fold
