// Package streamorigin remembers at which software version of an upstream each stream began, since a stream may be resumed
// only at that version.
package streamorigin
