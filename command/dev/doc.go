// Package dev runs stand-ins and hosts on loopback until it is stopped, for trying the interfaces by hand.
package dev
