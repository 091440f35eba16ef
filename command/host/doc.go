// Package host lists hosts and makes them leave.
package host
