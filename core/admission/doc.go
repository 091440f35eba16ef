// Package admission decides whether a call may wait, or is refused at once with when to come back.
package admission
