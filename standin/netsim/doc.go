// Package netsim is a network whose links tests can cut: connections go silent as if something between the ends had lost them.
package netsim
