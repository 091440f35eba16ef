// Package inbound describes one request of a caller as the rest of the system sees it, free of any wire format.
package inbound
