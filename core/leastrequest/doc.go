// Package leastrequest is a least-request load balancer for plain services that backs off from failing upstreams.
package leastrequest
