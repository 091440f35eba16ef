// Package eligibility decides which hosts are members of the group that owns slots. In a fleet with more hosts than slots
// most hosts are not members, so that they can join and leave without moving a slot.
package eligibility
