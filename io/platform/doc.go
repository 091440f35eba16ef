// Package platform speaks to the platform's services: the append-only log, the list of hosts and the weight store.
package platform
