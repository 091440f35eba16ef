// Package leastcost balances requests over upstreams by an estimated cost, from each upstream's load, speed, failures and
// cached prompt tokens.
package leastcost
