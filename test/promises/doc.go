// Package promises proves under failure what must always hold, with whole hosts and stand-ins.
package promises
