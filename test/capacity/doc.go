// Package capacity measures what host processes cost, idle and under load, as their number grows.
//
// By default its tests run a small fleet for a second; set for example CARDAMOMWARD_CAPACITY_HOSTS=3,6,12 and
// CARDAMOMWARD_CAPACITY_SECONDS=20 to measure larger ones.
package capacity
