// Package slotassignment decides which slots a host should claim and release.
package slotassignment
