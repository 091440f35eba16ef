// Package leastcost chooses the upstream that runs a request.
package leastcost
