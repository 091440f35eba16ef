// Package overload decides which programs may start while the upstreams of a service are full.
//
// All hosts compute the admitted share of first turns from the same data, the occupancy of the upstreams, in proportion to how
// far it exceeds the slots. The share has no state and no threshold that all hosts cross together, so a view that is some
// hundred milliseconds old does not make the load oscillate.
package overload
