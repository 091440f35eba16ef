// Package slot decides which slots a host should claim and release.
package slot
