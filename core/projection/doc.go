// Package projection derives state from the streams of the platform's log by applying their records in order, so that
// every host that reads the same records has the same state.
//
// Whether a record is valid or rejected follows from the records before it and its position alone. No function here
// reads a clock or performs I/O.
package projection
