// Package enginegc selects the closed programs whose memory an engine still holds and should release.
package enginegc
