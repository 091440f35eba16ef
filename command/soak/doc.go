// Package soak contains the command that runs gateway processes under faults and checks their promises.
package soak
