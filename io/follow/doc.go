// Package follow reads one partition of a keyed topic, from the newest record of each key on.
package follow
