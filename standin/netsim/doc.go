// Package netsim simulates network partitions: tests cut the links between named endpoints, whose connections then lose all data silently.
package netsim
