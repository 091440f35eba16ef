// Package service is a stand-in for a plain service that remembers what it ran, with switches for its faults.
package service
