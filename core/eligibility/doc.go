// Package eligibility decides which hosts own slots in a fleet that has more hosts than slots, so that the many others come
// and go without moving any slot.
package eligibility
