// Package capacity measures what idle host processes cost each other, as their number grows.
//
// Its test runs a tiny fleet by default; CARDAMOMWARD_CAPACITY_HOSTS=3,6,12 and
// CARDAMOMWARD_CAPACITY_SECONDS=20 measure others.
package capacity
