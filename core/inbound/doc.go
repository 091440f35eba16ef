// Package inbound defines a caller's request as decoded from the wire, independent of any wire format.
package inbound
