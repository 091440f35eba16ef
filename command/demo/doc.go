// Package demo starts stand-ins and hosts on loopback and runs programs through the whole path.
package demo
